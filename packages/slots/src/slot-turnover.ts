import type { Clock } from '@canvasridge/clock';

const SMOOTHING_FACTOR = 0.1;
const INITIAL_GAP_MS = 50;
const MAX_GAP_MS = 2000;

/** Mean time between two moments at which a slot of the pool becomes idle. */
export class SlotTurnover {
  readonly #clock: Clock;
  #lastMs: number | undefined;
  #gapMs = INITIAL_GAP_MS;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  recordIdleSlot(): void {
    const nowMs = this.#clock.now();
    if (this.#lastMs !== undefined) {
      const gapMs = Math.min(nowMs - this.#lastMs, MAX_GAP_MS);
      this.#gapMs += SMOOTHING_FACTOR * (gapMs - this.#gapMs);
    }
    this.#lastMs = nowMs;
  }

  /**
   * The same, or the time for which none has become idle where that is longer.
   * @param sinceMs when the first of those that wait began to wait
   */
  currentGapMs(sinceMs: number, nowMs: number): number {
    return Math.max(this.#gapMs, nowMs - Math.max(this.#lastMs ?? -Infinity, sinceMs));
  }

  meanGapMs(): number {
    return this.#gapMs;
  }
}
