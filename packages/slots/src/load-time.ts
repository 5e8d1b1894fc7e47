import type { Clock } from '@canvasridge/clock';

/**
 * Factors by which a guess grows when an adapter was not there yet, and shrinks when it was: about one load in 26 is
 * tried too early, which costs each request that waits for it a refusal and a retry of the fleet's budget.
 */
const GROWTH = 1.08;
const SHRINKAGE = 0.997;
const SLOWEST_FACTOR = 5;
const FASTEST_FACTOR = 0.2;
/** Failures within this time come from one cause and count once. */
const ONE_CAUSE_MS = 150;

/**
 * Guess of how long a load takes, learnt from requests that found the adapter missing: reports of engines
 * are too old to tell within one load.
 */
export class LoadTime {
  readonly #clock: Clock;
  readonly #initialMs: number;
  #guessMs: number;
  #grownMs = -Infinity;

  constructor(clock: Clock, initialMs: number) {
    this.#clock = clock;
    this.#initialMs = initialMs;
    this.#guessMs = initialMs;
  }

  get guessMs(): number {
    return this.#guessMs;
  }

  tooShort(): void {
    const nowMs = this.#clock.now();
    if (nowMs - this.#grownMs < ONE_CAUSE_MS) return;
    this.#grownMs = nowMs;
    this.#guessMs = Math.min(this.#guessMs * GROWTH, this.#initialMs * SLOWEST_FACTOR);
  }

  longEnough(): void {
    this.#guessMs = Math.max(this.#guessMs * SHRINKAGE, this.#initialMs * FASTEST_FACTOR);
  }
}
