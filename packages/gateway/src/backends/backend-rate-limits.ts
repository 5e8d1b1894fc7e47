import type { QuotaDecision, QuotaRule } from '@canvasridge/admission';
import type { Clock } from '@canvasridge/clock';
import type { BackendNotice } from '@canvasridge/serving';

/** A backend that names less still gets a request now and then: only its answers tell that the limit has ended. */
const LEAST_PER_SECOND = 0.1;
/** Requests that may be sent at once where callers come now and then, and those of this time besides. */
const LEAST_BURST = 2;
const BURST_SECONDS = 0.5;
/** A limit of which nothing was heard for so long is forgotten: nothing else would tell that it has ended. */
const FORGET_MS = 60_000;
/** More than a large fleet has backends; what was heard first goes first. */
const MOST_KEPT = 1024;

/** Requests that may be sent to a backend that names a limit: what it takes, with a small burst. */
export function rateLimitRule(perSecond: number): QuotaRule {
  const ratePerSecond = Math.max(perSecond, LEAST_PER_SECOND);
  return { ratePerSecond, burst: LEAST_BURST + ratePerSecond * BURST_SECONDS };
}

interface StatedLimit {
  readonly perSecond: number;
  readonly heardMs: number;
  /** Nothing is left before this moment. */
  closedUntilMs: number;
}

export interface BackendRateLimitsOptions {
  readonly clock: Clock;
  /** Decides over all nodes together whether one more request may be sent to a backend. */
  readonly admit: (backendId: string) => Promise<QuotaDecision>;
}

/**
 * Backends that named, in an answer to this node, how many requests a second they take from all nodes together. Each request to
 * one of them needs a unit of that: no node can keep such a limit by what it sends itself.
 */
export class BackendRateLimits {
  readonly #options: BackendRateLimitsOptions;
  /** By the start of a backend's process. */
  readonly #stated = new Map<string, StatedLimit>();

  constructor(options: BackendRateLimitsOptions) {
    this.#options = options;
  }

  /**
   * The head of an answer came.
   * @param isCounted whether the request was sent within a limit: of others, one sent before the limit was named may end after it
   */
  heard(backendId: string, rateLimit: BackendNotice['rateLimit'], isCounted: boolean): void {
    if (rateLimit === 'none' && isCounted) this.#stated.delete(backendId);
    if (typeof rateLimit === 'number') this.#note(backendId, rateLimit);
  }

  /** Undefined where a backend names no limit. */
  perSecond(backendId: string): number | undefined {
    const stated = this.#stated.get(backendId);
    if (stated === undefined) return undefined;
    if (this.#options.clock.now() - stated.heardMs < FORGET_MS) return stated.perSecond;
    this.#stated.delete(backendId);
    return undefined;
  }

  rule(backendId: string): QuotaRule | undefined {
    const perSecond = this.perSecond(backendId);
    return perSecond === undefined ? undefined : rateLimitRule(perSecond);
  }

  /** All backends that name a limit, with the rule that follows from it. */
  all(): { readonly backendId: string; readonly rule: QuotaRule }[] {
    const rows = [];
    for (const backendId of [...this.#stated.keys()]) {
      const rule = this.rule(backendId);
      if (rule !== undefined) rows.push({ backendId, rule });
    }
    return rows;
  }

  /** Another node has heard, later than this one, that the backend names no limit any more. */
  forget(backendId: string): void {
    this.#stated.delete(backendId);
  }

  /** Whether any backend may name a limit. */
  get isEmpty(): boolean {
    return this.#stated.size === 0;
  }

  /** Time until it is worth asking for a unit again, in milliseconds; 0 if it is now. */
  closedMs(backendId: string): number {
    if (this.perSecond(backendId) === undefined) return 0;
    return Math.max((this.#stated.get(backendId)?.closedUntilMs ?? 0) - this.#options.clock.now(), 0);
  }

  /** Takes a unit for one request; false if none is left. */
  async take(backendId: string): Promise<boolean> {
    if (this.closedMs(backendId) > 0) return false;
    const decision = await this.#options.admit(backendId);
    if (decision.kind === 'admitted') return true;
    const stated = this.#stated.get(backendId);
    if (stated !== undefined) stated.closedUntilMs = this.#options.clock.now() + decision.retryAfterMs;
    return false;
  }

  #note(backendId: string, perSecond: number): void {
    const closedUntilMs = this.#stated.get(backendId)?.closedUntilMs ?? 0;
    this.#stated.delete(backendId);
    this.#stated.set(backendId, { perSecond, heardMs: this.#options.clock.now(), closedUntilMs });
    const oldest = this.#stated.keys().next();
    if (this.#stated.size > MOST_KEPT && oldest.done !== true) this.#stated.delete(oldest.value);
  }
}
