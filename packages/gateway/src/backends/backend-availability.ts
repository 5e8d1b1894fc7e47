import type { Clock } from '@canvasridge/clock';
import type { FleetState } from '@canvasridge/serving';
import type { BackendBackoffs } from './backend-backoffs.js';
import type { BackendRateLimits } from './backend-rate-limits.js';
import type { PickContext, PickResult } from './picker.js';

export interface BackendAvailabilityOptions {
  readonly fleet: FleetState;
  readonly backoffs: BackendBackoffs;
  readonly rateLimits: BackendRateLimits;
  readonly clock: Clock;
  /** Whether any other node accepts requests. Backends may not have turned that node away. */
  readonly hasOtherServingNodes: () => boolean;
}

/**
 * Retry-After of a request that another node may serve at once, in milliseconds: no longer than it takes to
 * connect to one.
 */
export const RETRY_ELSEWHERE_MS = 20;
/**
 * Fraction of its latency objective within which a request must be sent to a backend; the rest is left for
 * the backend to process it.
 */
const LATEST_START_SHARE = 0.7;

/** Why nothing may be sent to any backend of a service, and for how long. */
interface Unavailability {
  readonly remainingMs: number;
  /**
   * `rate-limited`: every backend announced a rate limit that is used up; `backing-off`: at least one asked
   * this node to send nothing for a while.
   */
  readonly reason: 'rate-limited' | 'backing-off';
}

/**
 * Decides which backends this node may send requests to, from the backend list and from what the backends
 * told this node.
 */
export class BackendAvailability {
  readonly #options: BackendAvailabilityOptions;

  constructor(options: BackendAvailabilityOptions) {
    this.#options = options;
  }

  /** Whether the backend asked this node to back off, or has a rate limit that is used up. */
  isUnavailable(id: string): boolean {
    return this.isBackingOff(id) || this.#options.rateLimits.exhaustedMs(id) > 0;
  }

  /** Whether the backend announced a rate limit, which applies to all nodes together. */
  isRateLimited(id: string): boolean {
    return this.#options.rateLimits.perSecond(id) !== undefined;
  }

  /** Called when another node has learned that the backend no longer announces a rate limit. */
  forgetRateLimit(id: string): void {
    this.#options.rateLimits.forget(id);
  }

  /** Takes one unit of the backend's rate limit for a request; resolves with false if none is left. */
  takeRateLimitUnit(id: string): Promise<boolean> {
    return this.#options.rateLimits.takeUnit(id);
  }

  /** Whether the backoff time that the backend asked this node for is still running. */
  isBackingOff(id: string): boolean {
    return this.#options.backoffs.isBackingOff(id);
  }

  /**
   * Backends of a service that this node must not use although other nodes may. The pool leader, which
   * chooses backends for all nodes, may not know of them.
   */
  backendsToAvoid(service: string): readonly string[] {
    const { fleet, backoffs } = this.#options;
    const departures = fleet.leavingBackendsListedReady(service);
    const backingOff = backoffs.active();
    // Fast path: this runs for each request, and nearly always no backend is backing off.
    if (backingOff.length === 0) return departures;
    const ofService = backingOff.filter((id) => fleet.backend(id)?.service === service);
    return [...new Set([...departures, ...ofService])];
  }

  /**
   * Waits until a backend of the service may be used. Call it before a backend is chosen.
   *
   * If all backends of the service are backing off or rate limited, the request waits for the first one that
   * becomes usable, provided that it can still be answered within its objective by then. Otherwise it is
   * refused at once: its caller is sent to another node, which backends may not have turned away, or told
   * when the rate limit allows more. docs/design/notices.md describes the alternatives.
   *
   * @returns the refusal, or undefined once a backend may be chosen
   */
  async waitForAvailability(context: PickContext, cancelled: AbortSignal): Promise<PickResult | undefined> {
    const { clock, hasOtherServingNodes } = this.#options;
    const sinceMs = clock.now();
    for (;;) {
      const unavailability = this.#unavailability(context);
      if (unavailability === undefined || cancelled.aborted) return undefined;
      const { remainingMs, reason } = unavailability;
      const ageMs = context.ageMs + clock.now() - sinceMs;
      if (ageMs + remainingMs > context.route.objectiveMs * LATEST_START_SHARE) {
        // A rate limit applies to all nodes together, so another node could not send the request either.
        const isBetterElsewhere = reason === 'backing-off' && hasOtherServingNodes();
        const retryAfterMs = isBetterElsewhere ? Math.min(remainingMs, RETRY_ELSEWHERE_MS) : remainingMs;
        return { kind: 'none', reason, retryAfterMs };
      }
      await clock.sleep(remainingMs);
    }
  }

  /**
   * Time until the first backend of the service accepts requests from this node again. Undefined if one
   * accepts them now, or if the service has no ready backend. A backend that was already tried counts only
   * while it is backing off or rate limited: after that it is not chosen again.
   */
  #unavailability({ service, excluded }: PickContext): Unavailability | undefined {
    const { fleet, backoffs, rateLimits } = this.#options;
    if (backoffs.active().length === 0 && rateLimits.isEmpty) return undefined;
    let earliest: Unavailability | undefined;
    let isRateLimited = true;
    for (const { id, state } of fleet.backendsOf(service.name)) {
      if (state !== 'ready') continue;
      const limitedMs = rateLimits.exhaustedMs(id);
      const remainingMs = Math.max(backoffs.remainingMs(id), limitedMs);
      if (remainingMs === 0) {
        if (excluded.includes(id)) continue;
        return undefined;
      }
      isRateLimited &&= limitedMs > 0;
      const reason = isRateLimited ? 'rate-limited' : 'backing-off';
      earliest = { remainingMs: Math.min(earliest?.remainingMs ?? Infinity, remainingMs), reason };
    }
    return earliest;
  }
}
