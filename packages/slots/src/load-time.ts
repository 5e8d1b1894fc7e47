/** Share by which a guess grows when an adapter was not there yet, and shrinks when it was. */
const GROWTH = 1.25;
const SHRINKAGE = 0.99;
const SLOWEST_FACTOR = 6;
const FASTEST_FACTOR = 0.8;

/**
 * Guess of how long a load takes, learnt from requests that found the adapter missing: reports of engines
 * are too old to tell within one load.
 */
export class LoadTime {
  readonly #initialMs: number;
  #guessMs: number;

  constructor(initialMs: number) {
    this.#initialMs = initialMs;
    this.#guessMs = initialMs;
  }

  get guessMs(): number {
    return this.#guessMs;
  }

  tooShort(): void {
    this.#guessMs = Math.min(this.#guessMs * GROWTH, this.#initialMs * SLOWEST_FACTOR);
  }

  longEnough(): void {
    this.#guessMs = Math.max(this.#guessMs * SHRINKAGE, this.#initialMs * FASTEST_FACTOR);
  }
}
