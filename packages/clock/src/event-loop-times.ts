import type { Clock, Timer } from './clock.js';

/**
 * Gives a lower bound for the arrival time of the data that the process handles now. In each iteration, the
 * event loop reads sockets before it runs timers, so data that arrived before one of the timers ran has been
 * handled by then.
 */
export class EventLoopTimes {
  readonly #clock: Clock;
  readonly #periodMs: number;
  #lastRunMs: number;
  #previousRunMs: number;
  #timer: Timer | undefined;

  /** @param periodMs interval of the timer; the lower bound may be too early by up to two intervals */
  constructor(clock: Clock, periodMs: number) {
    this.#clock = clock;
    this.#periodMs = periodMs;
    this.#lastRunMs = clock.now();
    this.#previousRunMs = this.#lastRunMs;
    this.#schedule();
  }

  /**
   * Data that is handled now arrived after this time. It is the time of the last but one timer run: the last
   * one may be the first after the process was held up, when the data that arrived meanwhile was not read
   * yet.
   */
  get arrivedAfterMs(): number {
    return this.#previousRunMs;
  }

  stop(): void {
    this.#timer?.cancel();
  }

  #schedule(): void {
    this.#timer = this.#clock.setTimer(this.#periodMs, () => {
      this.#previousRunMs = this.#lastRunMs;
      this.#lastRunMs = this.#clock.now();
      this.#schedule();
    });
  }
}
