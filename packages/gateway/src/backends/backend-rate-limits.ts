import type { QuotaDecision, QuotaRule } from '@canvasridge/admission';
import type { Clock } from '@canvasridge/clock';
import type { BackendNotice } from '@canvasridge/serving';

/**
 * Lower bound of a rate limit, so that the backend still gets an occasional request: only its responses can
 * tell that the limit has ended.
 */
const MIN_RATE_PER_SECOND = 0.1;
/**
 * Smallest burst, for services with infrequent callers. The burst is larger than this by the requests that
 * the limit allows in BURST_SECONDS.
 */
const MIN_BURST = 2;
const BURST_SECONDS = 0.5;
/**
 * A limit that was not announced again for this long is dropped: nothing else would tell that it has ended.
 */
const EXPIRY_MS = 60_000;
/**
 * Exceeds the number of backends in a large fleet. The limit that was announced longest ago is dropped
 * first.
 */
const MAX_ENTRIES = 1024;

/** The quota rule that enforces an announced rate limit: its rate, with a small burst. */
export function rateLimitRule(perSecond: number): QuotaRule {
  const ratePerSecond = Math.max(perSecond, MIN_RATE_PER_SECOND);
  return { ratePerSecond, burst: MIN_BURST + ratePerSecond * BURST_SECONDS };
}

interface AnnouncedLimit {
  readonly perSecond: number;
  readonly lastSeenMs: number;
  /** The limit is used up until this time. */
  exhaustedUntilMs: number;
}

export interface BackendRateLimitsOptions {
  readonly clock: Clock;
  /** Decides, across all nodes, whether one more request may be sent to a backend. */
  readonly admit: (backendId: string) => Promise<QuotaDecision>;
}

/**
 * Backends that announced, in a response to this node, how many requests per second they accept from all
 * nodes together. Each request to one of them takes one unit of a quota that the nodes share: a node can't
 * enforce such a limit by counting only what it sends itself.
 */
export class BackendRateLimits {
  readonly #options: BackendRateLimitsOptions;
  /** Keyed by backend id, which is new with each start of the backend's process. */
  readonly #limits = new Map<string, AnnouncedLimit>();

  constructor(options: BackendRateLimitsOptions) {
    this.#options = options;
  }

  /**
   * Called when the headers of a response have arrived.
   * @param isChargedToRateLimit whether the request was charged to the backend's rate limit when it was
   * sent. Only the response to such a request can end the limit: a request sent before the limit was
   * announced may be answered after that.
   */
  recordNotice(
    backendId: string,
    rateLimit: BackendNotice['rateLimit'],
    isChargedToRateLimit: boolean,
  ): void {
    if (rateLimit === 'none' && isChargedToRateLimit) this.#limits.delete(backendId);
    if (typeof rateLimit === 'number') this.#recordLimit(backendId, rateLimit);
  }

  /** The announced limit in requests per second; undefined if there is none. */
  perSecond(backendId: string): number | undefined {
    const limit = this.#limits.get(backendId);
    if (limit === undefined) return undefined;
    if (this.#options.clock.now() - limit.lastSeenMs < EXPIRY_MS) return limit.perSecond;
    this.#limits.delete(backendId);
    return undefined;
  }

  rule(backendId: string): QuotaRule | undefined {
    const perSecond = this.perSecond(backendId);
    return perSecond === undefined ? undefined : rateLimitRule(perSecond);
  }

  /** All backends with an announced limit, with the quota rules that enforce them. */
  all(): { readonly backendId: string; readonly rule: QuotaRule }[] {
    const rows = [];
    for (const backendId of [...this.#limits.keys()]) {
      const rule = this.rule(backendId);
      if (rule !== undefined) rows.push({ backendId, rule });
    }
    return rows;
  }

  /**
   * Called when another node has learned, later than this one, that the backend no longer announces a limit.
   */
  forget(backendId: string): void {
    this.#limits.delete(backendId);
  }

  /** Whether no limit is known; entries that have expired but were not dropped yet count as known. */
  get isEmpty(): boolean {
    return this.#limits.size === 0;
  }

  /** Time until asking for a unit may succeed, in milliseconds; 0 if it may succeed now. */
  exhaustedMs(backendId: string): number {
    if (this.perSecond(backendId) === undefined) return 0;
    return Math.max((this.#limits.get(backendId)?.exhaustedUntilMs ?? 0) - this.#options.clock.now(), 0);
  }

  /** Takes one unit for a request; resolves with false if none is left. */
  async takeUnit(backendId: string): Promise<boolean> {
    if (this.exhaustedMs(backendId) > 0) return false;
    const decision = await this.#options.admit(backendId);
    if (decision.kind === 'admitted') return true;
    const limit = this.#limits.get(backendId);
    if (limit !== undefined) limit.exhaustedUntilMs = this.#options.clock.now() + decision.retryAfterMs;
    return false;
  }

  #recordLimit(backendId: string, perSecond: number): void {
    const exhaustedUntilMs = this.#limits.get(backendId)?.exhaustedUntilMs ?? 0;
    this.#limits.delete(backendId);
    this.#limits.set(backendId, { perSecond, lastSeenMs: this.#options.clock.now(), exhaustedUntilMs });
    const oldest = this.#limits.keys().next();
    if (this.#limits.size > MAX_ENTRIES && oldest.done !== true) this.#limits.delete(oldest.value);
  }
}
