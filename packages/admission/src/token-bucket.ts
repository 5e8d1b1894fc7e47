import type { Clock } from '@canvasridge/clock';

/** Token bucket: a rate with room for a burst. */
export class TokenBucket {
  readonly #clock: Clock;
  #tokens: number;
  #filledAtMs: number;

  constructor(clock: Clock, burst: number) {
    this.#clock = clock;
    this.#tokens = burst;
    this.#filledAtMs = clock.now();
  }

  /** Takes one token; otherwise returns the seconds until there is one. */
  take(ratePerSecond: number, burst: number): number {
    const nowMs = this.#clock.now();
    this.#tokens = Math.min(burst, this.#tokens + ((nowMs - this.#filledAtMs) / 1000) * ratePerSecond);
    this.#filledAtMs = nowMs;
    if (this.#tokens < 1) return (1 - this.#tokens) / ratePerSecond;
    this.#tokens -= 1;
    return 0;
  }
}
