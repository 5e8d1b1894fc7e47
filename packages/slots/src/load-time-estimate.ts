import type { Clock } from '@canvasridge/clock';

/**
 * Factors by which a guess grows when an adapter was not there yet, and shrinks when it was: about one load in 26 is
 * tried too early, which costs each request that waits for it a refusal and a retry of the fleet's budget.
 */
const GROWTH_FACTOR = 1.08;
const SHRINK_FACTOR = 0.997;
const MAX_FACTOR = 5;
const MIN_FACTOR = 0.2;
/** Failures within this time come from one cause and count once. */
const ONE_CAUSE_MS = 150;

/**
 * Guess of how long a load takes, learnt from requests that found the adapter missing: reports of engines
 * are too old to tell within one load.
 */
export class LoadTimeEstimate {
  readonly #clock: Clock;
  readonly #initialMs: number;
  #estimateMs: number;
  #increasedMs = -Infinity;

  constructor(clock: Clock, initialMs: number) {
    this.#clock = clock;
    this.#initialMs = initialMs;
    this.#estimateMs = initialMs;
  }

  get estimateMs(): number {
    return this.#estimateMs;
  }

  increase(): void {
    const nowMs = this.#clock.now();
    if (nowMs - this.#increasedMs < ONE_CAUSE_MS) return;
    this.#increasedMs = nowMs;
    this.#estimateMs = Math.min(this.#estimateMs * GROWTH_FACTOR, this.#initialMs * MAX_FACTOR);
  }

  decrease(): void {
    this.#estimateMs = Math.max(this.#estimateMs * SHRINK_FACTOR, this.#initialMs * MIN_FACTOR);
  }
}
