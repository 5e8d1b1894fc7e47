import type { Clock } from '@canvasridge/clock';

/**
 * Cap on a requested backoff, in milliseconds. A longer value may be a mistake in the unit, and only a new
 * request can reveal that: after this time the backend gets one again.
 */
const MAX_BACKOFF_MS = 600_000;
/** Exceeds the number of backends in a large fleet. Expired entries are dropped first, then the oldest. */
const MAX_ENTRIES = 1024;

/**
 * Backends that refused a request of this node and asked it to send nothing for some time. The time counts
 * from the arrival of the response, so that it never ends before it ends for the backend. It applies to this
 * node only: backends may not have refused requests of other nodes.
 */
export class BackendBackoffs {
  readonly #clock: Clock;
  /**
   * Keyed by backend id, which is new with each start of the backend's process: end of the backoff, by the
   * node's clock.
   */
  readonly #endsMs = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Extends the backoff but never shortens it: responses can arrive out of order, and each one is binding.
   */
  record(backendId: string, backoffMs: number): void {
    const endsMs = this.#clock.now() + Math.min(backoffMs, MAX_BACKOFF_MS);
    if (endsMs <= (this.#endsMs.get(backendId) ?? -Infinity)) return;
    this.#endsMs.delete(backendId);
    this.#endsMs.set(backendId, endsMs);
    if (this.#endsMs.size > MAX_ENTRIES) this.#prune();
  }

  isBackingOff(backendId: string): boolean {
    return this.remainingMs(backendId) > 0;
  }

  /** Remaining backoff in milliseconds; 0 if there is none. */
  remainingMs(backendId: string): number {
    const endsMs = this.#endsMs.get(backendId);
    if (endsMs === undefined) return 0;
    const remainingMs = endsMs - this.#clock.now();
    if (remainingMs > 0) return remainingMs;
    this.#endsMs.delete(backendId);
    return 0;
  }

  /**
   * Backends that are backing off. Also drops expired entries, including those of backends that are no
   * longer queried.
   */
  active(): readonly string[] {
    return [...this.#endsMs.keys()].filter((id) => this.isBackingOff(id));
  }

  #prune(): void {
    const active = this.active();
    const [first] = active;
    if (active.length > MAX_ENTRIES && first !== undefined) this.#endsMs.delete(first);
  }
}
