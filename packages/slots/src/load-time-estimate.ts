import type { Clock } from '@canvasridge/clock';
import type { LoadTime, LoadUse } from './load-time.js';

/**
 * The estimate is multiplied by GROWTH_FACTOR when a request found its adapter not loaded yet, and by SHRINK_FACTOR when it
 * found it loaded. At equilibrium about one load in 26 is tried too early, which costs each request that waits for it a
 * refusal by the engine and a retry from the fleet's retry budget.
 */
const GROWTH_FACTOR = 1.08;
const SHRINK_FACTOR = 0.997;
/** Bounds of the estimate, relative to its initial value. */
const MAX_FACTOR = 5;
const MIN_FACTOR = 0.2;
/** Failures within this time have a common cause and count once. */
const ONE_CAUSE_MS = 150;
/** Only a first use within this multiple of the estimate tells whether the estimate was long enough. */
const EARLY_USE_FACTOR = 1.2;

/**
 * Estimates how long a load takes, learnt from whether requests found the adapter present. Engine reports lag too much to
 * show when a load ends.
 */
export class LoadTimeEstimate implements LoadTime {
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

  get isKnown(): boolean {
    return true;
  }

  firstTryMs(): number {
    return this.#estimateMs;
  }

  /** Raises the estimate after an adapter was used too early. */
  recordTooEarly(): boolean {
    const nowMs = this.#clock.now();
    if (nowMs - this.#increasedMs < ONE_CAUSE_MS) return true;
    this.#increasedMs = nowMs;
    this.#estimateMs = Math.min(this.#estimateMs * GROWTH_FACTOR, this.#initialMs * MAX_FACTOR);
    return true;
  }

  /** Lowers the estimate after an adapter was loaded in time. */
  recordInTime({ ageMs }: LoadUse): void {
    if (ageMs > this.#estimateMs * EARLY_USE_FACTOR) return;
    this.#estimateMs = Math.max(this.#estimateMs * SHRINK_FACTOR, this.#initialMs * MIN_FACTOR);
  }
}
