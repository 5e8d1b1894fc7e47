import type { Clock } from '@canvasridge/clock';

/** Token bucket for whole requests. Rate and burst are passed to each call, so that they may change. */
export class TokenBucket {
  readonly #clock: Clock;
  #tokens: number;
  #filledAtMs: number;

  constructor(clock: Clock, burst: number) {
    this.#clock = clock;
    this.#tokens = burst;
    this.#filledAtMs = clock.now();
  }

  /** Takes one token and returns 0; if there is none, returns the seconds until there will be. */
  take(ratePerSecond: number, burst: number): number {
    const nowMs = this.#clock.now();
    this.#tokens = Math.min(burst, this.#tokens + ((nowMs - this.#filledAtMs) / 1000) * ratePerSecond);
    this.#filledAtMs = nowMs;
    if (this.#tokens < 1) return (1 - this.#tokens) / ratePerSecond;
    this.#tokens -= 1;
    return 0;
  }
}
