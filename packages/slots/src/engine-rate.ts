import { UnitBucket, type QuotaRule } from '@canvasridge/admission';
import type { Clock } from '@canvasridge/clock';

/** The requests a second that an engine takes from all nodes together, for as long as it names such a limit. */
export class EngineRate {
  readonly #clock: Clock;
  #bucket: UnitBucket;
  #rule: QuotaRule | undefined;
  #hasEnded = false;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#bucket = new UnitBucket(clock, 0);
  }

  /** Undefined while the engine names no limit. */
  get rule(): QuotaRule | undefined {
    return this.#rule;
  }

  /** A limit that is new here has no units yet: whoever granted before may have used them. */
  set rule(rule: QuotaRule | undefined) {
    if (this.#rule === undefined && rule !== undefined) this.#bucket = new UnitBucket(this.#clock, 0);
    this.#hasEnded = rule === undefined && (this.#hasEnded || this.#rule !== undefined);
    this.#rule = rule;
  }

  /** Whether the engine named a limit before and names none now. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Whether one more request may be granted now. */
  get hasRoom(): boolean {
    return this.#rule === undefined || this.#bucket.available(this.#rule) >= 1;
  }

  /** A request was granted. */
  take(): void {
    if (this.#rule !== undefined) this.#bucket.take(1, this.#rule);
  }
}
