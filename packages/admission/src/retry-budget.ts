/**
 * Limits retries to a fixed ratio of the first attempts, so that the failure of a zone does not double the
 * load of the others.
 */
export class RetryBudget {
  readonly #ratio: number;
  readonly #limit: number;
  #tokens: number;

  /**
   * @param ratio retries allowed for each first attempt
   * @param limit maximum number of retries that can be saved up
   */
  constructor(ratio = 0.2, limit = 50) {
    this.#ratio = ratio;
    this.#limit = limit;
    this.#tokens = limit;
  }

  /** Counts a first attempt. */
  deposit(): void {
    this.#tokens = Math.min(this.#limit, this.#tokens + this.#ratio);
  }

  /** Takes one retry from the budget; returns false if none is left. */
  withdraw(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
