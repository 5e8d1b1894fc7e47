import type { Random } from './random.js';

/** Limits of an exponential backoff, in milliseconds. */
export interface BackoffOptions {
  readonly initialMs: number;
  readonly maximumMs: number;
}

/** `delayMs` spread evenly over plus or minus half of itself. */
export function jittered(delayMs: number, random: Random): number {
  return delayMs * (0.5 + random.next());
}

/**
 * Exponential backoff with full jitter: each delay is uniform below a bound that doubles, so callers
 * that failed together do not come back together.
 */
export class Backoff {
  readonly #options: BackoffOptions;
  readonly #random: Random;
  #failures = 0;

  constructor(options: BackoffOptions, random: Random) {
    this.#options = options;
    this.#random = random;
  }

  /** Delay before the next try, in milliseconds. */
  nextDelayMs(): number {
    const bound = Math.min(this.#options.maximumMs, this.#options.initialMs * 2 ** this.#failures);
    this.#failures += 1;
    return bound * (0.5 + 0.5 * this.#random.next());
  }

  reset(): void {
    this.#failures = 0;
  }
}
