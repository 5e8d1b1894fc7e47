/**
 * Retries are paid from a budget that first attempts fill: at most a fixed share of the traffic can be
 * retries, so that a zone that goes does not double the load of the others.
 */
export class RetryBudget {
  readonly #ratio: number;
  readonly #limit: number;
  #tokens: number;

  /** @param ratio retries allowed for each first attempt; @param limit most retries saved up */
  constructor(ratio = 0.2, limit = 50) {
    this.#ratio = ratio;
    this.#limit = limit;
    this.#tokens = limit;
  }

  /** Counts a first attempt. */
  deposit(): void {
    this.#tokens = Math.min(this.#limit, this.#tokens + this.#ratio);
  }

  /** Takes one retry from the budget; false when it is used up. */
  withdraw(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
