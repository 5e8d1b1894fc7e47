import type { Clock, Timer } from './clock.js';

/**
 * Tells since when at the earliest what a process works on now can have waited for it. The loop reads sockets before it
 * runs timers, so what had come before one of its timers ran has been worked on by then.
 */
export class LoopTurns {
  readonly #clock: Clock;
  readonly #periodMs: number;
  #turnMs: number;
  #turnBeforeMs: number;
  #timer: Timer | undefined;

  /** @param periodMs time between two looks, by which the moment told may be too early twice */
  constructor(clock: Clock, periodMs: number) {
    this.#clock = clock;
    this.#periodMs = periodMs;
    this.#turnMs = clock.now();
    this.#turnBeforeMs = this.#turnMs;
    this.#next();
  }

  /**
   * Moment after which anything came that is worked on now. The turn before the last one, as the last may be the one in which a
   * process goes on that was held up, with all that came meanwhile still to be read.
   */
  get cameAfterMs(): number {
    return this.#turnBeforeMs;
  }

  stop(): void {
    this.#timer?.cancel();
  }

  #next(): void {
    this.#timer = this.#clock.setTimer(this.#periodMs, () => {
      this.#turnBeforeMs = this.#turnMs;
      this.#turnMs = this.#clock.now();
      this.#next();
    });
  }
}
