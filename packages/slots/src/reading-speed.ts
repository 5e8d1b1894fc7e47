/** First guess before any answer was seen; a few prompts replace it. The slowest engines known read 0.06 ms a token. */
const INITIAL_MS_PER_TOKEN = 0.05;
/** Weight of the first guess and of what an engine's fellows show, in tokens: one or two prompts of usual length. */
const PRIOR_TOKENS = 3000;
/** Reading time after which an observation counts half: an engine that turns slow is known within some answers. */
const HALF_LIFE_MS = 1200;
/** Bounds of what is believed, in ms per token; an observation beyond them comes from something else. */
const FASTEST_MS_PER_TOKEN = 0.002;
const SLOWEST_MS_PER_TOKEN = 1;

/** Time that reading one token of a prompt takes, learnt from how long prompts of known length took. */
export class ReadingSpeed {
  readonly #fellows: ReadingSpeed | undefined;
  readonly #halfLifeMs: number;
  readonly #learns: boolean;
  #tokens = 0;
  #readingMs = 0;

  /**
   * @param fellows the speed of like engines, which is believed until this one has shown its own
   * @param learns false to stay with the first guess
   */
  constructor(fellows: ReadingSpeed | undefined, halfLifeMs = HALF_LIFE_MS, learns = true) {
    this.#learns = learns && (fellows?.learns ?? true);
    this.#fellows = fellows;
    this.#halfLifeMs = halfLifeMs;
  }

  get learns(): boolean {
    return this.#learns;
  }

  get msPerToken(): number {
    const prior = this.#fellows?.msPerToken ?? INITIAL_MS_PER_TOKEN;
    const learnt = (this.#readingMs + prior * PRIOR_TOKENS) / (this.#tokens + PRIOR_TOKENS);
    return Math.min(Math.max(learnt, FASTEST_MS_PER_TOKEN), SLOWEST_MS_PER_TOKEN);
  }

  /** The engine read these tokens in this time. */
  observe(tokens: number, readingMs: number): void {
    if (!this.#learns) return;
    const kept = 0.5 ** (readingMs / this.#halfLifeMs);
    this.#tokens = this.#tokens * kept + tokens;
    this.#readingMs = this.#readingMs * kept + readingMs;
    this.#fellows?.observe(tokens, readingMs);
  }
}

/** Reading time, of all engines of a pool together, after which what they showed counts half. */
const FELLOWS_HALF_LIFE_MS = 20_000;

/** The speed that the engines of one pool show together. */
export function speedOfFellows(learns = true): ReadingSpeed {
  return new ReadingSpeed(undefined, FELLOWS_HALF_LIFE_MS, learns);
}
