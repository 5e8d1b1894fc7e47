import type { Clock } from '@canvasridge/clock';
import type { AdapterSlot } from './engine-slots.js';

/** Time within which a request that found its adapter missing usually returns. */
const MISS_RETURNS_WITHIN_MS = 30;
/** After this many misses of the pilot, others do not wait for it any more: it may be late for a reason of its own. */
const MAX_MISSES = 2;

/**
 * The first load of a pool, which is tried a little ahead of others as long as none was found present: a whole first wave
 * of loads would be tried too early together.
 */
export class PilotLoad {
  readonly #clock: Clock;
  #slot: AdapterSlot | undefined;
  #nextTryMs = 0;
  #misses = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Makes the load the pilot if there was none. Returns whether it is the pilot. */
  claim(slot: AdapterSlot): boolean {
    this.#slot ??= slot;
    return this.#slot === slot;
  }

  /** By how much earlier than others the pilot is tried, in milliseconds. */
  get leadMs(): number {
    return MISS_RETURNS_WITHIN_MS;
  }

  /** Records when a load is tried next; has no effect for other loads than the pilot. */
  recordNextTry(slot: AdapterSlot, atMs: number): void {
    if (slot === this.#slot) this.#nextTryMs = atMs;
  }

  /** Records that a load was found missing; has no effect for other loads than the pilot. */
  recordMiss(slot: AdapterSlot): void {
    if (slot === this.#slot) this.#misses += 1;
  }

  /** Until when other loads wait for the pilot's outcome; a time in the past if they need not. */
  get othersWaitUntilMs(): number {
    if (this.#slot === undefined || this.#misses >= MAX_MISSES) return this.#clock.now();
    return this.#nextTryMs + MISS_RETURNS_WITHIN_MS;
  }
}
