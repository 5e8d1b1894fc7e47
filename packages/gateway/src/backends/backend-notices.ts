import type { Clock } from '@canvasridge/clock';
import type { BackendNotice, FleetState } from '@canvasridge/serving';
import type { Telemetry } from '@canvasridge/telemetry';
import type { BackendBackoffs } from './backend-backoffs.js';
import type { BackendRateLimits } from './backend-rate-limits.js';
import type { GatewayMetrics } from '../gateway-metrics.js';

export interface BackendNoticesOptions {
  readonly fleet: FleetState;
  readonly backoffs: BackendBackoffs;
  readonly rateLimits: BackendRateLimits;
  /** What a backend names as its limit now, in requests a second; undefined: none any more. */
  readonly onRateLimit: (backendId: string, perSecond: number | undefined) => void;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly metrics: GatewayMetrics;
}

/** Lines of one backend are this far apart, in milliseconds: one that leaves says so in each of its answers. */
const LINE_PERIOD_MS = 1000;
/** Backends whose last line is remembered: more than a large fleet has. */
const MOST_BACKENDS = 2048;

/** What backends say of themselves in the heads of their answers. */
export class BackendNotices {
  readonly #options: BackendNoticesOptions;
  /** By id: when the last line was written, in milliseconds of the node's clock. */
  readonly #linesAtMs = new Map<string, number>();

  constructor(options: BackendNoticesOptions) {
    this.#options = options;
  }

  /**
   * The head of an answer of this backend came.
   * @param isRateCounted whether it answers a request that was sent within the backend's limit
   */
  heard(backendId: string, notice: BackendNotice, isRateCounted: boolean): void {
    this.#heardRateLimit(backendId, notice.rateLimit, isRateCounted);
    const namesLimit = typeof notice.rateLimit === 'number';
    if (!notice.isLeaving && notice.backoffMs === undefined && !namesLimit) return;
    const { metrics, backoffs } = this.#options;
    if (namesLimit) metrics.notices.inc({ notice: 'rate-limit' });
    if (notice.isLeaving) metrics.notices.inc({ notice: 'leaving' });
    if (notice.backoffMs !== undefined) {
      metrics.notices.inc({ notice: 'backoff' });
      backoffs.note(backendId, notice.backoffMs);
    }
    this.#log(backendId, notice);
    // Sooner than the list, which says nothing of it while the store is away: requests went on to such a backend for 11 s.
    if (notice.isLeaving) this.#options.fleet.noteAnnounced(backendId, 'answer');
  }

  #heardRateLimit(backendId: string, limit: BackendNotice['rateLimit'], isRateCounted: boolean): void {
    const { rateLimits, onRateLimit } = this.#options;
    rateLimits.heard(backendId, limit, isRateCounted);
    if (typeof limit === 'number') onRateLimit(backendId, limit);
    else if (limit === 'none' && isRateCounted) onRateLimit(backendId, undefined);
  }

  #log(backendId: string, { isLeaving, backoffMs, rateLimit }: BackendNotice): void {
    const { clock, telemetry, fleet } = this.#options;
    const nowMs = clock.now();
    if (nowMs - (this.#linesAtMs.get(backendId) ?? -Infinity) < LINE_PERIOD_MS) return;
    this.#linesAtMs.delete(backendId);
    this.#linesAtMs.set(backendId, nowMs);
    if (this.#linesAtMs.size > MOST_BACKENDS) this.#forgetOldest();
    telemetry.event('info', 'backend.notice', backendId, {
      leaving: isLeaving,
      backoffMs,
      ratePerSecond: rateLimit,
      listed: fleet.backend(backendId)?.state ?? 'not',
    });
  }

  #forgetOldest(): void {
    const oldest = this.#linesAtMs.keys().next();
    if (oldest.done !== true) this.#linesAtMs.delete(oldest.value);
  }
}
