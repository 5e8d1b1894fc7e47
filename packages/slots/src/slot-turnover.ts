import type { Clock } from '@canvasridge/clock';

/** Weight of the latest gap in the exponential moving average. */
const SMOOTHING_FACTOR = 0.1;
const INITIAL_GAP_MS = 50;
const MAX_GAP_MS = 2000;

/** Measures the mean time between two slots of the pool becoming idle. */
export class SlotTurnover {
  readonly #clock: Clock;
  #lastMs: number | undefined;
  #gapMs = INITIAL_GAP_MS;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records that a slot became idle. */
  recordIdleSlot(): void {
    const nowMs = this.#clock.now();
    if (this.#lastMs !== undefined) {
      const gapMs = Math.min(nowMs - this.#lastMs, MAX_GAP_MS);
      this.#gapMs += SMOOTHING_FACTOR * (gapMs - this.#gapMs);
    }
    this.#lastMs = nowMs;
  }

  /**
   * The mean gap, or the time since a slot last became idle if that is longer.
   * @param sinceMs arrival of the oldest waiting request; earlier time without an idle slot does not count
   */
  currentGapMs(sinceMs: number, nowMs: number): number {
    return Math.max(this.#gapMs, nowMs - Math.max(this.#lastMs ?? -Infinity, sinceMs));
  }

  /** The mean gap, in milliseconds. */
  meanGapMs(): number {
    return this.#gapMs;
  }
}
