/** Half-life of observations, in prompts. */
const HALF_LIFE_PROMPTS = 500;
const KEPT_SHARE = 0.5 ** (1 / HALF_LIFE_PROMPTS);
/** Prompts after which the times are known well enough to compare engines by them. */
const MIN_PROMPTS = 20;

/**
 * How long a prompt takes on an engine of a pool until its first event: a part that grows with its tokens, and a part that
 * does not, such as the decode steps of the first event. A least-squares fit to the recent prompts of all engines.
 */
export class PromptTimes {
  #weight = 0;
  #tokens = 0;
  #ms = 0;
  #tokensSquared = 0;
  #tokensMs = 0;

  /** Expected time of a prompt of this length, in milliseconds; undefined while too few were seen. */
  expectedMs(tokens: number): number | undefined {
    if (this.#weight < MIN_PROMPTS) return undefined;
    const meanTokens = this.#tokens / this.#weight;
    const meanMs = this.#ms / this.#weight;
    const variance = this.#tokensSquared / this.#weight - meanTokens ** 2;
    const covariance = this.#tokensMs / this.#weight - meanTokens * meanMs;
    if (variance <= 0) return meanMs;
    // Neither part can be negative.
    const msPerToken = Math.min(Math.max(covariance / variance, 0), meanMs / meanTokens);
    return meanMs + msPerToken * (tokens - meanTokens);
  }

  observe(tokens: number, ms: number): void {
    this.#weight = this.#weight * KEPT_SHARE + 1;
    this.#tokens = this.#tokens * KEPT_SHARE + tokens;
    this.#ms = this.#ms * KEPT_SHARE + ms;
    this.#tokensSquared = this.#tokensSquared * KEPT_SHARE + tokens ** 2;
    this.#tokensMs = this.#tokensMs * KEPT_SHARE + tokens * ms;
  }
}
