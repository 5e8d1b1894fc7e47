/** Initial estimate, outweighed after a few prompts. The slowest known engines take 0.06 ms per token. */
const INITIAL_MS_PER_TOKEN = 0.05;
/** Weight of the initial estimate or the pool's speed, in tokens: one or two prompts of usual length. */
const PRIOR_TOKENS = 3000;
/** Half-life of observations in prefill time, so that an engine that becomes slow is recognized within a few responses. */
const HALF_LIFE_MS = 1200;
/** Bounds of the estimate, in ms per token. Observations beyond them have other causes than prefill. */
const MIN_MS_PER_TOKEN = 0.002;
const MAX_MS_PER_TOKEN = 1;

/** Estimates the prefill time per prompt token, learnt from how long prompts of known length took. */
export class PrefillSpeed {
  readonly #poolSpeed: PrefillSpeed | undefined;
  readonly #halfLifeMs: number;
  readonly #learns: boolean;
  #tokens = 0;
  #prefillMs = 0;

  /**
   * @param poolSpeed the speed of similar engines, used until this engine has been observed, and updated by it
   * @param halfLifeMs half-life of observations, in milliseconds of prefill time
   * @param learns false to always use the initial estimate
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
    const priorMsPerToken = this.#poolSpeed?.msPerToken ?? INITIAL_MS_PER_TOKEN;
    const weightedMsPerToken =
      (this.#prefillMs + priorMsPerToken * PRIOR_TOKENS) / (this.#tokens + PRIOR_TOKENS);
    return Math.min(Math.max(weightedMsPerToken, MIN_MS_PER_TOKEN), MAX_MS_PER_TOKEN);
  }

  /** Records that the engine processed this many tokens in this time. */
  observe(tokens: number, prefillMs: number): void {
    if (!this.#learns) return;
    const keptShare = 0.5 ** (prefillMs / this.#halfLifeMs);
    this.#tokens = this.#tokens * keptShare + tokens;
    this.#prefillMs = this.#prefillMs * keptShare + prefillMs;
    this.#poolSpeed?.observe(tokens, prefillMs);
  }
}

/** Half-life of observations of a whole pool, in prefill time summed over its engines. */
const POOL_HALF_LIFE_MS = 20_000;

/** Creates the estimate shared by all engines of a pool. */
export function newPoolSpeed(learns = true): PrefillSpeed {
  return new PrefillSpeed(undefined, POOL_HALF_LIFE_MS, learns);
}
