import type { Clock } from '@canvasridge/clock';

/** Fraction of the weight store's rate that is used, because another node may have used some of it just before. */
const USED_RATE_SHARE = 0.8;
/** Loads that may start at once. */
const BURST = 2;

/** Limits the rate at which whole models are fetched from the weight store, with a token bucket. */
export class StoreLoadBudget {
  readonly #clock: Clock;
  #ratePerMs = 0;
  #tokens = BURST;
  #refilledMs: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#refilledMs = clock.now();
  }

  /** Sets the weight store's rate, in loads per second. */
  setRate(perSecond: number): void {
    this.#refill();
    this.#ratePerMs = (USED_RATE_SHARE * perSecond) / 1000;
  }

  /** Takes one load from the budget. Returns false if it is used up. */
  take(): boolean {
    this.#refill();
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }

  #refill(): void {
    const nowMs = this.#clock.now();
    this.#tokens = Math.min(BURST, this.#tokens + (nowMs - this.#refilledMs) * this.#ratePerMs);
    this.#refilledMs = nowMs;
  }
}
