import type { Clock } from '@canvasridge/clock';

/** Bound of sends beyond the first of each request, over all nodes together. */
export interface RetryBudgetOptions {
  /** Retries allowed for each request. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Retries allowed in each window beside the ratio, for all nodes together. */
  readonly slack: number;
}

const STEPS = 10;
/** Parts of the bound that one node uses of its share, since nodes do not agree on time or members. */
const RATIO_SHARE = 0.8;
const SLACK_SHARE = 0.7;

/**
 * This node's part of a retry budget that all nodes keep without asking one another: of the ratio by its own
 * requests, of the slack by its share in the fleet.
 */
export class RetryBudget {
  readonly #clock: Clock;
  readonly #options: RetryBudgetOptions;
  readonly #requests: SlidingCount;
  readonly #retries: SlidingCount;
  readonly #fleetShare: () => number;

  /** @param fleetShare part of the slack that falls to this node, from 0 to 1 */
  constructor(clock: Clock, options: RetryBudgetOptions, fleetShare: () => number) {
    this.#clock = clock;
    this.#options = options;
    this.#requests = new SlidingCount(options.windowMs);
    this.#retries = new SlidingCount(options.windowMs);
    this.#fleetShare = fleetShare;
  }

  countRequest(): void {
    this.#requests.add(this.#clock.now());
  }

  /** Whether one more send beyond the first is allowed; counts it if so. */
  take(): boolean {
    const nowMs = this.#clock.now();
    const { ratio, slack } = this.#options;
    const earned = RATIO_SHARE * ratio * this.#requests.total(nowMs);
    const allowed = earned + SLACK_SHARE * slack * this.#fleetShare();
    if (this.#retries.total(nowMs) + 1 > allowed) return false;
    this.#retries.add(nowMs);
    return true;
  }
}

/** Events of the last window, counted in steps. */
class SlidingCount {
  readonly #stepMs: number;
  readonly #counts = new Array<number>(STEPS + 1).fill(0);
  #step = 0;

  constructor(windowMs: number) {
    this.#stepMs = windowMs / STEPS;
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
