import type { Random } from './random.js';

/** Bounds of an exponential backoff, in milliseconds. */
export interface BackoffOptions {
  readonly initialMs: number;
  readonly maximumMs: number;
}

/** Returns `delayMs` with jitter: a uniform random value between half and one and a half times the delay. */
export function jittered(delayMs: number, random: Random): number {
  return delayMs * (0.5 + random.next());
}

/**
 * Exponential backoff with jitter: each delay is uniform between half of a bound and the bound, which doubles
 * with each failure. So callers that failed at the same time do not retry at the same time.
 */
export class Backoff {
  readonly #options: BackoffOptions;
  readonly #random: Random;
  #failures = 0;

  constructor(options: BackoffOptions, random: Random) {
    this.#options = options;
    this.#random = random;
  }

  /** Delay before the next attempt, in milliseconds. */
  nextDelayMs(): number {
    const bound = Math.min(this.#options.maximumMs, this.#options.initialMs * 2 ** this.#failures);
    this.#failures += 1;
    return bound * (0.5 + 0.5 * this.#random.next());
  }

  reset(): void {
    this.#failures = 0;
  }
}
