import type { SlotDecision } from '@canvasridge/slots';
import { rateLimitRule, type BackendRateLimits } from '../backends/backend-rate-limits.js';

export interface RateLimitNewsOptions {
  readonly rateLimits: Pick<BackendRateLimits, 'perSecond'>;
  /** Tells the leader of the engine's pool what the engine named: requests a second, null for no limit any more. */
  readonly tell: (backendId: string, perSecond: number | null) => void;
}

/** Sees to it that the leader of a pool knows of the limits that its engines named in answers to this node. */
export class RateLimitNews {
  readonly #options: RateLimitNewsOptions;
  /** By engine: what the leader is known to go by; absent where it is not known to have heard of any limit. */
  readonly #leaderKnows = new Map<string, number | null>();

  constructor(options: RateLimitNewsOptions) {
    this.#options = options;
  }

  /** @param perSecond undefined where the engine names no limit any more */
  heard(backendId: string, perSecond: number | undefined): void {
    // As grants name it.
    const named = perSecond === undefined ? null : rateLimitRule(perSecond).ratePerSecond;
    if ((this.#leaderKnows.get(backendId) ?? null) === named) return;
    this.#leaderKnows.set(backendId, named);
    this.#options.tell(backendId, named);
  }

  /** A leader that grants an engine without its limit has not heard of it: it is new, or of a build that heeds none. */
  granted({ backendId, ratePerSecond }: SlotDecision & { kind: 'granted' }): void {
    if (ratePerSecond !== undefined) {
      this.#leaderKnows.set(backendId, ratePerSecond);
      return;
    }
    this.#leaderKnows.delete(backendId);
    const perSecond = this.#options.rateLimits.perSecond(backendId);
    if (perSecond !== undefined) this.heard(backendId, perSecond);
  }

  /** What the leader before knew, the next one may not. */
  leaderChanged(): void {
    this.#leaderKnows.clear();
  }

  /** Engines that are gone are forgotten. */
  retain(isListed: (backendId: string) => boolean): void {
    for (const id of this.#leaderKnows.keys()) if (!isListed(id)) this.#leaderKnows.delete(id);
  }
}
