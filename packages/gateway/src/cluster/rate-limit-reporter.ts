import type { SlotDecision } from '@canvasridge/slots';
import { rateLimitRule, type BackendRateLimits } from '../backends/backend-rate-limits.js';

export interface RateLimitReporterOptions {
  readonly rateLimits: Pick<BackendRateLimits, 'perSecond'>;
  /**
   * Reports to the leader of the engine's pool which limit the engine announced: requests per second, or null
   * if it no longer announces one.
   */
  readonly tell: (backendId: string, perSecond: number | null) => void;
}

/** Makes sure that the leader of a pool knows the limits that its engines announced to this node. */
export class RateLimitReporter {
  readonly #options: RateLimitReporterOptions;
  /**
   * By engine: the limit that the leader is known to apply; absent if it is not known to have received any.
   */
  readonly #knownToLeader = new Map<string, number | null>();

  constructor(options: RateLimitReporterOptions) {
    this.#options = options;
  }

  /**
   * Records the limit that an engine announced in a response.
   * @param perSecond undefined if the engine no longer announces a limit
   */
  onLimitAnnounced(backendId: string, perSecond: number | undefined): void {
    // The same form as in grants.
    const announced = perSecond === undefined ? null : rateLimitRule(perSecond).ratePerSecond;
    if ((this.#knownToLeader.get(backendId) ?? null) === announced) return;
    this.#knownToLeader.set(backendId, announced);
    this.#options.tell(backendId, announced);
  }

  /**
   * A leader that grants an engine without its limit has not received it: the leader is new, or of a build
   * that ignores limits.
   */
  onGranted({ backendId, ratePerSecond }: SlotDecision & { kind: 'granted' }): void {
    if (ratePerSecond !== undefined) {
      this.#knownToLeader.set(backendId, ratePerSecond);
      return;
    }
    this.#knownToLeader.delete(backendId);
    const perSecond = this.#options.rateLimits.perSecond(backendId);
    if (perSecond !== undefined) this.onLimitAnnounced(backendId, perSecond);
  }

  /** The next leader may not know what the previous one knew. */
  leaderChanged(): void {
    this.#knownToLeader.clear();
  }

  /** Forgets engines that are no longer listed. */
  retain(isListed: (backendId: string) => boolean): void {
    for (const id of this.#knownToLeader.keys()) if (!isListed(id)) this.#knownToLeader.delete(id);
  }
}
