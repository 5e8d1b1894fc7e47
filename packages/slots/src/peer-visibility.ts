import type { Clock } from '@canvasridge/clock';

/** How long a member that is no longer visible counts as possibly on the other side of a partition. */
const LOST_RETENTION_MS = 8000;
/** Several gossip periods: by then, a node that sees the first other member again has also learnt of their leader. */
const REUNION_DELAY_MS = 2000;

/**
 * Estimates whether this node is on the majority side of a possible network partition: whether it sees more than half of
 * the members it saw recently. The result lags, because members are probed one after the other. It can also be wrong, as
 * a node that has forgotten the members it lost sees a majority of the rest. It is therefore only one of several
 * conditions for giving orders.
 */
export class PeerVisibility {
  readonly #clock: Clock;
  readonly #selfId: string;
  readonly #aloneAfterMs: number;
  readonly #startedMs: number;
  #alive: readonly string[] = [];
  #visible = new Set<string>();
  /** Members that are no longer visible and did not announce their departure, and when that was noticed. */
  readonly #lostAtMs = new Map<string, number>();
  /** Since when this node may be cut off from the majority; undefined if it is not. */
  #minoritySinceMs: number | undefined;
  /** When a possibly cut-off node last saw a member come back. */
  #reunitedMs = -Infinity;

  /** @param aloneAfterMs time after its start from which a node that has never seen another member acts alone */
  constructor(clock: Clock, selfId: string, aloneAfterMs: number) {
    this.#clock = clock;
    this.#selfId = selfId;
    this.#aloneAfterMs = aloneAfterMs;
    this.#startedMs = clock.now();
  }

  /**
   * Updates the view from the current membership.
   * @param alive members believed alive, without this node; must be the same array while nothing changes
   * @param departed members that announced their departure
   */
  update(alive: readonly string[], departed: readonly string[]): void {
    const nowMs = this.#clock.now();
    if (alive !== this.#alive) this.#updateVisible(alive, nowMs);
    for (const id of departed) if (!this.#visible.has(id)) this.#lostAtMs.delete(id);
    this.#forget(nowMs);
  }

  #forget(nowMs: number): void {
    const isOld = (lostMs: number): boolean => nowMs - lostMs > LOST_RETENTION_MS;
    if (![...this.#lostAtMs.values()].some(isOld)) return;
    const sawMost = this.seesMost();
    for (const [id, lostMs] of this.#lostAtMs) if (isOld(lostMs)) this.#lostAtMs.delete(id);
    if (!sawMost) this.#minoritySinceMs ??= nowMs;
  }

  #updateVisible(alive: readonly string[], nowMs: number): void {
    const before = this.#visible;
    this.#alive = alive;
    this.#visible = new Set(alive);
    for (const id of before) if (!this.#visible.has(id)) this.#lostAtMs.set(id, nowMs);
    if (this.#minoritySinceMs !== undefined && alive.some((id) => !before.has(id))) {
      this.#minoritySinceMs = undefined;
      this.#reunitedMs = nowMs;
    }
    for (const id of alive) this.#lostAtMs.delete(id);
  }

  /** Members believed alive, without this node. */
  get visible(): ReadonlySet<string> {
    return this.#visible;
  }

  /** Members that were visible recently, no longer are, and did not announce their departure. */
  get lost(): readonly string[] {
    return [...this.#lostAtMs.keys()];
  }

  /**
   * Whether this node may be cut off from a majority that has a leader of its own. It is if it did not see a majority
   * and then forgot the lost members, and until one of them has been back for a while.
   */
  get mayBeCutOff(): boolean {
    return this.#minoritySinceMs !== undefined || this.#clock.now() - this.#reunitedMs < REUNION_DELAY_MS;
  }

  /** How long this node may have been cut off without seeing any other member, in milliseconds; undefined otherwise. */
  get isolatedMs(): number | undefined {
    if (this.#minoritySinceMs === undefined || this.#visible.size > 0) return undefined;
    return this.#clock.now() - this.#minoritySinceMs;
  }

  /** Whether this node sees other members and lost none recently. */
  seesAll(): boolean {
    return this.#visible.size > 0 && this.#lostAtMs.size === 0;
  }

  /**
   * Whether this node sees a majority of recent members. Of two equal halves, the one with the smallest id counts as the
   * majority.
   */
  seesMost(): boolean {
    if (this.#visible.size === 0 && this.#lostAtMs.size === 0) {
      return this.#clock.now() - this.#startedMs >= this.#aloneAfterMs;
    }
    const visible = this.#visible.size + 1;
    const lost = this.#lostAtMs.size;
    if (visible !== lost) return visible > lost;
    const recent = [...this.#visible, ...this.#lostAtMs.keys(), this.#selfId];
    const smallest = recent.reduce((least, id) => (id < least ? id : least));
    return smallest === this.#selfId || this.#visible.has(smallest);
  }
}
