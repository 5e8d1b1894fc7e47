import type { Clock } from '@canvasridge/clock';

/** Limit on retries, that is, on sends beyond the first of each request, across all nodes. */
export interface RetryBudgetOptions {
  /** Retries allowed per request. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Retries allowed in each window in addition to the ratio, for all nodes together. */
  readonly slack: number;
}

const WINDOW_STEPS = 10;
/**
 * Fractions of its allowance that a node uses, since nodes differ in their clocks and in how many nodes they
 * see.
 */
const RATIO_SHARE = 0.8;
const SLACK_SHARE = 0.7;

/**
 * This node's part of a retry budget that all nodes keep without communicating: each counts the ratio on its
 * own requests, and takes its share of the slack.
 */
export class RetryBudget {
  readonly #clock: Clock;
  readonly #options: RetryBudgetOptions;
  readonly #requests: SlidingWindowCounter;
  readonly #retries: SlidingWindowCounter;
  readonly #fleetShare: () => number;

  /** @param fleetShare this node's share of the slack, from 0 to 1 */
  constructor(clock: Clock, options: RetryBudgetOptions, fleetShare: () => number) {
    this.#clock = clock;
    this.#options = options;
    this.#requests = new SlidingWindowCounter(options.windowMs);
    this.#retries = new SlidingWindowCounter(options.windowMs);
    this.#fleetShare = fleetShare;
  }

  countRequest(): void {
    this.#requests.add(this.#clock.now());
  }

  /** Whether the budget allows no retry now. */
  get isUsedUp(): boolean {
    const nowMs = this.#clock.now();
    const { ratio, slack } = this.#options;
    const earned = RATIO_SHARE * ratio * this.#requests.total(nowMs);
    const allowed = earned + SLACK_SHARE * slack * this.#fleetShare();
    return this.#retries.total(nowMs) + 1 > allowed;
  }

  /** Counts one more retry and returns true if the budget allows it; otherwise returns false. */
  tryTake(): boolean {
    if (this.isUsedUp) return false;
    this.#retries.add(this.#clock.now());
    return true;
  }
}

/** Counts the events of the last window, in buckets of a tenth of the window, see WINDOW_STEPS. */
class SlidingWindowCounter {
  readonly #stepMs: number;
  readonly #counts = new Array<number>(WINDOW_STEPS + 1).fill(0);
  #step = 0;

  constructor(windowMs: number) {
    this.#stepMs = windowMs / WINDOW_STEPS;
  }

  add(nowMs: number): void {
    this.#advance(nowMs);
    const index = this.#step % this.#counts.length;
    this.#counts[index] = (this.#counts[index] ?? 0) + 1;
  }

  total(nowMs: number): number {
    this.#advance(nowMs);
    return this.#counts.reduce((sum, count) => sum + count, 0);
  }

  #advance(nowMs: number): void {
    const step = Math.floor(nowMs / this.#stepMs);
    const passed = Math.min(step - this.#step, this.#counts.length);
    for (let index = 1; index <= passed; index += 1) {
      this.#counts[(step - passed + index) % this.#counts.length] = 0;
    }
    this.#step = step;
  }
}
