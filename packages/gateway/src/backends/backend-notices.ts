import type { Clock } from '@canvasridge/clock';
import type { BackendNotice, FleetState } from '@canvasridge/serving';
import type { Telemetry } from '@canvasridge/telemetry';
import type { BackendBackoffs } from './backend-backoffs.js';
import type { BackendRateLimits } from './backend-rate-limits.js';
import type { RejectionLimits } from './rejection-limits.js';
import type { GatewayMetrics } from '../gateway-metrics.js';

export interface BackendNoticesOptions {
  readonly fleet: FleetState;
  readonly backoffs: BackendBackoffs;
  readonly rateLimits: BackendRateLimits;
  readonly rejectionLimits: Pick<RejectionLimits, 'recordNotice'>;
  /**
   * Called with the rate limit that a backend announces, in requests per second, or with undefined if it no
   * longer announces one.
   */
  readonly onRateLimit: (backendId: string, perSecond: number | undefined) => void;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly metrics: GatewayMetrics;
}

/**
 * Minimum interval between log lines about one backend, in milliseconds: a backend that leaves announces it
 * in each of its responses.
 */
const LOG_INTERVAL_MS = 1000;
/** Number of backends whose last log time is kept: more than a large fleet has. */
const MAX_LOGGED_BACKENDS = 2048;

/**
 * Processes what backends announce about themselves in the headers of their responses: that they leave, a
 * backoff, a rate limit, a limit on the requests that they can turn away.
 */
export class BackendNotices {
  readonly #options: BackendNoticesOptions;
  /** Keyed by backend id: time of the last log line, in milliseconds of the node's clock. */
  readonly #lastLoggedMs = new Map<string, number>();

  constructor(options: BackendNoticesOptions) {
    this.#options = options;
  }

  /**
   * Called with each notice of a backend, from the headers of a response or from the engine control.
   * @param isChargedToRateLimit whether the notice came with the response to a request that was charged to
   * the backend's rate limit
   */
  handleNotice(backendId: string, notice: BackendNotice, isChargedToRateLimit: boolean): void {
    this.#handleRateLimit(backendId, notice.rateLimit, isChargedToRateLimit);
    const service = this.#options.fleet.backend(backendId)?.service;
    if (service !== undefined) this.#options.rejectionLimits.recordNotice(service, notice.rejectionLimit);
    const hasRateLimit = typeof notice.rateLimit === 'number';
    if (!notice.isLeaving && notice.backoffMs === undefined && !hasRateLimit) return;
    const { metrics, backoffs } = this.#options;
    if (hasRateLimit) metrics.notices.inc({ notice: 'rate-limit' });
    if (notice.isLeaving) metrics.notices.inc({ notice: 'leaving' });
    if (notice.backoffMs !== undefined) {
      metrics.notices.inc({ notice: 'backoff' });
      backoffs.record(backendId, notice.backoffMs);
    }
    this.#log(backendId, notice);
    // The backend list would report this later, and not at all while the store is down: without this,
    // requests went on to such a backend for 11 s.
    if (notice.isLeaving) this.#options.fleet.recordAnnouncedShutdown(backendId, 'answer');
  }

  #handleRateLimit(
    backendId: string,
    limit: BackendNotice['rateLimit'],
    isChargedToRateLimit: boolean,
  ): void {
    const { rateLimits, onRateLimit } = this.#options;
    rateLimits.recordNotice(backendId, limit, isChargedToRateLimit);
    if (typeof limit === 'number') onRateLimit(backendId, limit);
    else if (limit === 'none' && isChargedToRateLimit) onRateLimit(backendId, undefined);
  }

  #log(backendId: string, { isLeaving, backoffMs, rateLimit }: BackendNotice): void {
    const { clock, telemetry, fleet } = this.#options;
    const nowMs = clock.now();
    if (nowMs - (this.#lastLoggedMs.get(backendId) ?? -Infinity) < LOG_INTERVAL_MS) return;
    this.#lastLoggedMs.delete(backendId);
    this.#lastLoggedMs.set(backendId, nowMs);
    if (this.#lastLoggedMs.size > MAX_LOGGED_BACKENDS) this.#forgetOldest();
    telemetry.event('info', 'backend.notice', backendId, {
      leaving: isLeaving,
      backoffMs,
      ratePerSecond: rateLimit,
      listed: fleet.backend(backendId)?.state ?? 'not',
    });
  }

  #forgetOldest(): void {
    const oldest = this.#lastLoggedMs.keys().next();
    if (oldest.done !== true) this.#lastLoggedMs.delete(oldest.value);
  }
}
