import type { Clock } from '@canvasridge/clock';
import type { QuotaRule } from './quota-gate.js';

/**
 * A bucket can hold at least the units of this time at its rate; otherwise a rule without a burst would admit
 * nothing.
 */
const MIN_CAPACITY_MS = 100;

/**
 * Token bucket for the units of one subject. The rule is passed to each call, so a changed rule applies at
 * once.
 */
export class UnitBucket {
  readonly #clock: Clock;
  #units: number;
  #updatedAtMs: number;

  /**
   * @param units initial content; limited to the capacity by the rule of the first call
   * @param sinceMs time from which units accrue
   */
  constructor(clock: Clock, units: number, sinceMs = clock.now()) {
    this.#clock = clock;
    this.#units = units;
    this.#updatedAtMs = sinceMs;
  }

  /**
   * Available units. Negative after a request larger than the capacity was admitted, until the excess has
   * accrued again.
   * @param share fraction of the rate and capacity that applies here, from 0 to 1
   */
  available(rule: QuotaRule, share = 1): number {
    const nowMs = this.#clock.now();
    const accrued = ((nowMs - this.#updatedAtMs) / 1000) * rule.ratePerSecond * share;
    this.#updatedAtMs = nowMs;
    this.#units = Math.min(this.#units + accrued, capacityOf(rule, share));
    return this.#units;
  }

  /**
   * Takes the units if they are available. A request larger than the capacity is admitted when the bucket is
   * full.
   */
  take(units: number, rule: QuotaRule, share = 1): boolean {
    if (this.available(rule, share) < Math.min(units, capacityOf(rule, share))) return false;
    this.#units -= units;
    return true;
  }

  add(units: number): void {
    this.#units += units;
  }

  remove(units: number): void {
    this.#units -= units;
  }
}

function capacityOf({ ratePerSecond, burst }: QuotaRule, share: number): number {
  return Math.max(burst, (ratePerSecond * MIN_CAPACITY_MS) / 1000) * share;
}
