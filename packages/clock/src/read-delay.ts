import type { Clock, Timer } from './clock.js';

/** Time in which the process was held up, by the clock. */
interface Stall {
  readonly startedMs: number;
  readonly endedMs: number;
}

/**
 * Bounds how long the input that the process handles now may have lain unread, as the process was held up. A timer that
 * runs late shows a stall. The connections that waited meanwhile are accepted one in a turn of the event loop, so a stall
 * counts for some time after it has ended. Connections that wait without a stall are not seen.
 */
export class ReadDelay {
  readonly #clock: Clock;
  readonly #periodMs: number;
  readonly #settleMs: number;
  #lastRunMs: number;
  #stall: Stall | undefined;
  #timer: Timer | undefined;

  /**
   * @param periodMs interval of the timer; shorter stalls are not seen
   * @param settleMs how long a stall counts after it has ended
   */
  constructor(clock: Clock, periodMs: number, settleMs: number) {
    this.#clock = clock;
    this.#periodMs = periodMs;
    this.#settleMs = settleMs;
    this.#lastRunMs = clock.now();
    this.#schedule();
  }

  /** The longest time for which input that is handled now may have lain unread, in milliseconds; 0 without a stall. */
  get maxMs(): number {
    this.#look();
    const nowMs = this.#clock.now();
    const stall = this.#stall;
    return stall === undefined || this.#isOver(stall, nowMs) ? 0 : nowMs - stall.startedMs;
  }

  stop(): void {
    this.#timer?.cancel();
  }

  #schedule(): void {
    this.#timer = this.#clock.setTimer(this.#periodMs, () => {
      this.#look();
      this.#lastRunMs = this.#clock.now();
      this.#schedule();
    });
  }

  /** Records a stall if the timer is late. A stall that follows another one closely continues it. */
  #look(): void {
    const nowMs = this.#clock.now();
    if (nowMs - this.#lastRunMs <= 2 * this.#periodMs) return;
    const before = this.#stall;
    const isContinued = before !== undefined && !this.#isOver(before, this.#lastRunMs);
    this.#stall = { startedMs: isContinued ? before.startedMs : this.#lastRunMs, endedMs: nowMs };
  }

  #isOver({ endedMs }: Stall, atMs: number): boolean {
    return atMs - endedMs > this.#settleMs;
  }
}
