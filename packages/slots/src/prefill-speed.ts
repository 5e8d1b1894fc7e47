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
export class PrefillSpeed {
  readonly #poolSpeed: PrefillSpeed | undefined;
  readonly #halfLifeMs: number;
  readonly #learns: boolean;
  #tokens = 0;
  #readingMs = 0;

  /**
   * @param poolSpeed the speed of like engines, which is believed until this one has shown its own
   * @param learns false to stay with the first guess
   */
  constructor(poolSpeed: PrefillSpeed | undefined, halfLifeMs = HALF_LIFE_MS, learns = true) {
    this.#learns = learns && (poolSpeed?.learns ?? true);
    this.#poolSpeed = poolSpeed;
    this.#halfLifeMs = halfLifeMs;
  }

  get learns(): boolean {
    return this.#learns;
  }

  get msPerToken(): number {
    const prior = this.#poolSpeed?.msPerToken ?? INITIAL_MS_PER_TOKEN;
    const learnt = (this.#readingMs + prior * PRIOR_TOKENS) / (this.#tokens + PRIOR_TOKENS);
    return Math.min(Math.max(learnt, FASTEST_MS_PER_TOKEN), SLOWEST_MS_PER_TOKEN);
  }

  /** The engine read these tokens in this time. */
  observe(tokens: number, readingMs: number): void {
    if (!this.#learns) return;
    const keptShare = 0.5 ** (readingMs / this.#halfLifeMs);
    this.#tokens = this.#tokens * keptShare + tokens;
    this.#readingMs = this.#readingMs * keptShare + readingMs;
    this.#poolSpeed?.observe(tokens, readingMs);
  }
}

/** Reading time, of all engines of a pool together, after which what they showed counts half. */
const POOL_HALF_LIFE_MS = 20_000;

/** The speed that the engines of one pool show together. */
export function newPoolSpeed(learns = true): PrefillSpeed {
  return new PrefillSpeed(undefined, POOL_HALF_LIFE_MS, learns);
}
