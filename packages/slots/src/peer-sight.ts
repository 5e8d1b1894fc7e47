import type { Clock } from '@canvasridge/clock';

/** Members that went out of sight count for this long as perhaps cut off. */
const LOST_RETENTION_MS = 8000;
/** A node that sees the first of the others again has heard of their leader after this time: several periods of gossip. */
const REUNION_DELAY_MS = 2000;

/**
 * Whether this node is likely on the larger side of a partition, if there is one: it sees more than half of
 * the members that it saw of late. It tells late, as members are looked at one after the other, and a node that forgot those
 * that it lost sees most of the rest, so it is one of several things that have to hold before a node gives orders.
 */
export class PeerSight {
  readonly #clock: Clock;
  readonly #selfId: string;
  readonly #aloneAfterMs: number;
  readonly #startedMs: number;
  #alive: readonly string[] = [];
  #visible = new Set<string>();
  /** Members that went out of sight without a word, and when that was noticed. */
  readonly #lostAtMs = new Map<string, number>();
  /** When this node became a remainder; undefined if it is none. */
  #minoritySinceMs: number | undefined;
  /** When the first of the others came back in sight of a node that was a remainder. */
  #reunitedMs = -Infinity;

  /** @param aloneAfterMs time after its start from which a node that never met another acts alone */
  constructor(clock: Clock, selfId: string, aloneAfterMs: number) {
    this.#clock = clock;
    this.#selfId = selfId;
    this.#aloneAfterMs = aloneAfterMs;
    this.#startedMs = clock.now();
  }

  /**
   * @param alive members believed alive, without this node; the same list as long as nothing changed
   * @param departed members that said they leave
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

  /** Members in sight, without this node. */
  get visible(): ReadonlySet<string> {
    return this.#visible;
  }

  /** Members that went out of sight without a word and are not forgotten yet. */
  get lost(): readonly string[] {
    return [...this.#lostAtMs.keys()];
  }

  /**
   * Whether this node saw few of the others and then forgot those that it did not see, without any of them coming back: it may
   * be cut off, and the others have a leader of their own.
   */
  get isRemainder(): boolean {
    return this.#minoritySinceMs !== undefined || this.#clock.now() - this.#reunitedMs < REUNION_DELAY_MS;
  }

  /** How long it has been a remainder that sees nobody at all, in milliseconds; undefined if it sees any or is none. */
  get aloneMs(): number | undefined {
    if (this.#minoritySinceMs === undefined || this.#visible.size > 0) return undefined;
    return this.#clock.now() - this.#minoritySinceMs;
  }

  seesAll(): boolean {
    return this.#visible.size > 0 && this.#lostAtMs.size === 0;
  }

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
