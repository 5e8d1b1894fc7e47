import type { Clock } from '@canvasridge/clock';
import type { DisabledMechanisms } from '@canvasridge/slots';
import { RETRY_ELSEWHERE_MS } from '../backends/backend-availability.js';
import type { Cluster } from '../cluster/cluster.js';
import type { PublishedState } from '../cluster/published-state.js';
import { GrowingOutageRetry, type OutageRetry } from './outage-retry.js';

/** Why a node can not serve: it knows no configuration, or one that is too old for rights that can be revoked. */
export type UnableCause = 'not-ready' | 'stale';

export interface ServingOutageOptions {
  /** Clock of `published`. */
  readonly clock: Clock;
  readonly published: Pick<PublishedState, 'configurationLease' | 'hasStoreFailed' | 'awaitsConfiguration'>;
  readonly cluster: Pick<Cluster, 'seesMost' | 'lostMembers' | 'isolatedMs'>;
  readonly random: () => number;
  /** Mechanisms that are disabled by a setting. */
  readonly switchedOff: DisabledMechanisms;
}

/** Retry-After of a node without a configuration, in milliseconds, if it does not adapt to the outage. */
const NOT_READY_RETRY_MS = 500;

/** Tells callers that this node can not serve when to return, from what it knows of the outage. */
export class ServingOutage {
  readonly #options: ServingOutageOptions;
  readonly #retry: OutageRetry;
  readonly #startedMs: number;

  constructor(options: ServingOutageOptions) {
    this.#options = options;
    this.#retry = new GrowingOutageRetry(options.random);
    this.#startedMs = options.clock.now();
  }

  /** @param callerLeftMs time that the caller has left; Infinity if it named no deadline */
  retryAfterMs(cause: UnableCause, callerLeftMs: number): number {
    if (this.#options.switchedOff.has('outage-retry'))
      return cause === 'stale' ? RETRY_ELSEWHERE_MS : NOT_READY_RETRY_MS;
    const { published } = this.#options;
    return this.#retry.retryAfterMs({
      lastedMs: this.#lastedMs(cause),
      isReading: published.awaitsConfiguration || !published.hasStoreFailed,
      isCutOff: this.#isCutOff(),
      callerLeftMs,
    });
  }

  /** An old configuration tells when the store last answered any node; without one, the outage is as old as the process. */
  #lastedMs(cause: UnableCause): number {
    const { clock, published } = this.#options;
    const { ageMs } = published.configurationLease;
    return cause === 'stale' && Number.isFinite(ageMs) ? ageMs : clock.now() - this.#startedMs;
  }

  /** A node that never met another one is not cut off: after a power loss it may be the first one back. */
  #isCutOff(): boolean {
    const { cluster } = this.#options;
    return cluster.isolatedMs !== undefined || (cluster.lostMembers().length > 0 && !cluster.seesMost());
  }
}
