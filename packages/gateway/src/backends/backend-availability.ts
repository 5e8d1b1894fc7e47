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
  /** Whether other nodes take requests, which may not have been turned away. */
  readonly othersServe: () => boolean;
}

/** For a request that any other node may serve: no longer than it takes to connect to one, in milliseconds. */
export const RETRY_ELSEWHERE_MS = 20;
/** Part of its objective after which a request can't be answered in it any more: the rest is for the backend's work. */
const LATEST_START_SHARE = 0.7;

/** Why nothing may be sent to any backend of a service, and until when. */
interface Closure {
  readonly remainingMs: number;
  /** `rate-limited`: all of them name limits, of which nothing is left; `backing-off`: some want nothing from this node. */
  readonly reason: 'rate-limited' | 'backing-off';
}

/** Which backends this node may give requests to, by the list and by what they said to this node. */
export class BackendAvailability {
  readonly #options: BackendAvailabilityOptions;

  constructor(options: BackendAvailabilityOptions) {
    this.#options = options;
  }

  /** Whether this node knows that nothing more may be sent to a backend now. */
  isClosed(id: string): boolean {
    return this.isBackingOff(id) || this.#options.rateLimits.closedMs(id) > 0;
  }

  /** Whether the backend names a limit for all nodes together. */
  isRateLimited(id: string): boolean {
    return this.#options.rateLimits.perSecond(id) !== undefined;
  }

  /** Another node has heard that the backend names no limit any more. */
  forgetRateLimit(id: string): void {
    this.#options.rateLimits.forget(id);
  }

  /** Takes a unit of that limit for one request; false if none is left. */
  takeUnit(id: string): Promise<boolean> {
    return this.#options.rateLimits.take(id);
  }

  /** Whether a backend asked this node for a time that has not ended. */
  isBackingOff(id: string): boolean {
    return this.#options.backoffs.has(id);
  }

  /** Backends of a service that this node must not use though others may: who chooses for it may not know of them. */
  closedTo(service: string): readonly string[] {
    const { fleet, backoffs } = this.#options;
    const departures = fleet.unlistedDepartures(service);
    const backingOff = backoffs.active();
    // Nearly always: each request asks this.
    if (backingOff.length === 0) return departures;
    const ofService = backingOff.filter((id) => fleet.backend(id)?.service === service);
    return [...new Set([...departures, ...ofService])];
  }

  /**
   * To be asked before a backend is chosen. Where nothing is left but backends that want nothing from this node now, a request waits
   * for the first of them if it can still be answered within its objective then; else it is refused at once, to be served by another
   * node, which may not have been turned away, or when there is something left of a limit. Other ways stand in docs/design/notices.md.
   * Resolves with the refusal, or undefined once a backend may be chosen.
   */
  async refusal(context: PickContext, cancelled: AbortSignal): Promise<PickResult | undefined> {
    const { clock, othersServe } = this.#options;
    const sinceMs = clock.now();
    for (;;) {
      const closure = this.#closure(context);
      if (closure === undefined || cancelled.aborted) return undefined;
      const { remainingMs, reason } = closure;
      const ageMs = context.ageMs + clock.now() - sinceMs;
      if (ageMs + remainingMs > context.route.objectiveMs * LATEST_START_SHARE) {
        // A limit is for all nodes together: none of them has anything left of it.
        const isBetterElsewhere = reason === 'backing-off' && othersServe();
        const retryAfterMs = isBetterElsewhere ? Math.min(remainingMs, RETRY_ELSEWHERE_MS) : remainingMs;
        return { kind: 'none', reason, retryAfterMs };
      }
      await clock.sleep(remainingMs);
    }
  }

  /**
   * When the first backend of the service takes requests of this node again; undefined while there is one that does, or none
   * at all. One that the request was sent to counts only for its time: it is not chosen again before.
   */
  #closure({ service, excluded }: PickContext): Closure | undefined {
    const { fleet, backoffs, rateLimits } = this.#options;
    if (backoffs.active().length === 0 && rateLimits.isEmpty) return undefined;
    let soonest: Closure | undefined;
    let isRateLimited = true;
    for (const { id, state } of fleet.backendsOf(service.name)) {
      if (state !== 'ready') continue;
      const limitedMs = rateLimits.closedMs(id);
      const remainingMs = Math.max(backoffs.remainingMs(id), limitedMs);
      if (remainingMs === 0) {
        if (excluded.includes(id)) continue;
        return undefined;
      }
      isRateLimited &&= limitedMs > 0;
      const reason = isRateLimited ? 'rate-limited' : 'backing-off';
      soonest = { remainingMs: Math.min(soonest?.remainingMs ?? Infinity, remainingMs), reason };
    }
    return soonest;
  }
}
