import { UnitBucket, type QuotaRule } from '@canvasridge/admission';
import type { Clock } from '@canvasridge/clock';

/** Enforces the limit on requests per second that an engine may announce for all nodes together. */
export class EngineRate {
  readonly #clock: Clock;
  #bucket: UnitBucket;
  #rule: QuotaRule | undefined;
  #hasEnded = false;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#bucket = new UnitBucket(clock, 0);
  }

  /** The engine's limit; undefined while it announces none. */
  get rule(): QuotaRule | undefined {
    return this.#rule;
  }

  /** A newly set limit starts with an empty bucket, because another node may just have used up its burst. */
  set rule(rule: QuotaRule | undefined) {
    if (this.#rule === undefined && rule !== undefined) this.#bucket = new UnitBucket(this.#clock, 0);
    this.#hasEnded = rule === undefined && (this.#hasEnded || this.#rule !== undefined);
    this.#rule = rule;
  }

  /** The limit as stated in a grant: null if a former limit has ended, absent if there never was one. */
  get stated(): { ratePerSecond?: number | null } {
    if (this.#rule !== undefined) return { ratePerSecond: this.#rule.ratePerSecond };
    return this.#hasEnded ? { ratePerSecond: null } : {};
  }

  /** Whether one more request may be granted now. */
  get hasRoom(): boolean {
    return this.#rule === undefined || this.#bucket.available(this.#rule) >= 1;
  }

  /** Counts a granted request against the limit. */
  take(): void {
    if (this.#rule !== undefined) this.#bucket.take(1, this.#rule);
  }
}
