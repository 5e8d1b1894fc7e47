/** Quota of a subject, such as a tenant, over all nodes together. */
export interface QuotaRule {
  /** Sustained rate, in units per second. */
  readonly ratePerSecond: number;
  /** Units that may be used at once on top of the rate. */
  readonly burst: number;
}

/** Returns the current rule of a subject; undefined for no limit. */
export type QuotaRules = (subject: string) => QuotaRule | undefined;

export type QuotaDecision =
  | { readonly kind: 'admitted' }
  /** @property retryAfterMs time after which enough units are likely to be available */
  | { readonly kind: 'refused'; readonly retryAfterMs: number };

/** Admits requests on one node against quotas that apply to all nodes together. */
export interface QuotaGate {
  /** Decides on one request and, if it is admitted, deducts its units. */
  admit(subject: string, units: number): Promise<QuotaDecision>;
  /** Returns the units of a request that was admitted but did not run. */
  giveBack(subject: string, units: number): void;
}

/** Bounds of the retry delay that a refused caller is given. */
const MIN_RETRY_MS = 20;
const MAX_RETRY_MS = 5000;

/** Time in which `units` accrue at the rate, within the bounds of the retry delay. */
export function retryAfterMs(units: number, ratePerSecond: number): number {
  if (ratePerSecond <= 0) return MAX_RETRY_MS;
  return Math.min(Math.max((units / ratePerSecond) * 1000, MIN_RETRY_MS), MAX_RETRY_MS);
}
