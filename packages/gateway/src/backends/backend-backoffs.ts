import type { Clock } from '@canvasridge/clock';

/**
 * Longest time that is believed, in milliseconds: one that asks for more is asked again after it, with a single request, as it
 * may have meant another unit, and nothing else would ever tell.
 */
const LONGEST_MS = 600_000;
/** More than a large fleet has backends; what has ended goes first, then what was noted first. */
const MOST_KEPT = 1024;

/**
 * Backends that turned a request of this node away and named a time in which they want nothing more from it. The time counts
 * from when the answer is heard, so that it never ends before the backend's own. It is this node's alone: another one may
 * not have been turned away.
 */
export class BackendBackoffs {
  readonly #clock: Clock;
  /** By the start of a backend's process: when its time ends, on the node's clock. */
  readonly #endsMs = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** A later answer never shortens the time: answers may overtake one another, and each one stands. */
  note(backendId: string, backoffMs: number): void {
    const endsMs = this.#clock.now() + Math.min(backoffMs, LONGEST_MS);
    if (endsMs <= (this.#endsMs.get(backendId) ?? -Infinity)) return;
    this.#endsMs.delete(backendId);
    this.#endsMs.set(backendId, endsMs);
    if (this.#endsMs.size > MOST_KEPT) this.#prune();
  }

  has(backendId: string): boolean {
    return this.remainingMs(backendId) > 0;
  }

  /** Time that is left, in milliseconds; 0 if none. */
  remainingMs(backendId: string): number {
    const endsMs = this.#endsMs.get(backendId);
    if (endsMs === undefined) return 0;
    const remainingMs = endsMs - this.#clock.now();
    if (remainingMs > 0) return remainingMs;
    this.#endsMs.delete(backendId);
    return 0;
  }

  /** Backends whose time has not ended; what has ended is forgotten, also of those that nobody asks for any more. */
  active(): readonly string[] {
    return [...this.#endsMs.keys()].filter((id) => this.has(id));
  }

  #prune(): void {
    const active = this.active();
    const [first] = active;
    if (active.length > MOST_KEPT && first !== undefined) this.#endsMs.delete(first);
  }
}
