import type { Clock } from '@canvasridge/clock';

/** Factors by which a guess grows when an adapter was not there yet, and shrinks when it was. */
const GROWTH = 1.12;
const SHRINKAGE = 0.99;
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
