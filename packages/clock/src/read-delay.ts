import type { Clock, Timer } from './clock.js';

/** A time in which the process was held up, by the clock. */
interface Stall {
  readonly startedMs: number;
  /** Until when input may be read that has lain unread since the stall. */
  countsUntilMs: number;
}

/** Time limits of a {@link ReadDelay}, in milliseconds. */
export interface ReadDelayTiming {
  /** Interval of the timer that shows stalls. */
  readonly periodMs: number;
  /** A timer that is this late shows a stall. */
  readonly minStallMs: number;
  /** How long a stall counts after it has ended, not counting later stalls. */
  readonly settleMs: number;
}

/**
 * Bounds how long the input that the process handles now may have lain unread, as the process was held up. The
 * connections that waited meanwhile are accepted one in a turn of the event loop, so a stall counts for some time after
 * it has ended. Connections that wait without a stall are not seen.
 */
export class ReadDelay {
  readonly #clock: Clock;
  readonly #timing: ReadDelayTiming;
  #lastRunMs: number;
  /** Stalls that count, in order. */
  #stalls: Stall[] = [];
  #timer: Timer | undefined;

  constructor(clock: Clock, timing: ReadDelayTiming) {
    this.#clock = clock;
    this.#timing = timing;
    this.#lastRunMs = clock.now();
    this.#schedule();
  }

  /** The longest time for which input that is handled now may have lain unread, in milliseconds; 0 without a stall. */
  get maxMs(): number {
    this.#look();
    const [oldest] = this.#stalls;
    return oldest === undefined ? 0 : this.#clock.now() - oldest.startedMs;
  }

  stop(): void {
    this.#timer?.cancel();
  }

  #schedule(): void {
    this.#timer = this.#clock.setTimer(this.#timing.periodMs, () => {
      this.#look();
      this.#schedule();
    });
  }

  #look(): void {
    const { periodMs, minStallMs, settleMs } = this.#timing;
    const startedMs = this.#lastRunMs;
    const nowMs = this.#clock.now();
    this.#lastRunMs = nowMs;
    this.#stalls = this.#stalls.filter(({ countsUntilMs }) => countsUntilMs >= startedMs);
    if (nowMs - startedMs > periodMs + minStallMs) {
      for (const stall of this.#stalls) stall.countsUntilMs += nowMs - startedMs;
      this.#stalls.push({ startedMs, countsUntilMs: nowMs + settleMs });
    }
    this.#stalls = this.#stalls.filter(({ countsUntilMs }) => countsUntilMs >= nowMs);
  }
}
