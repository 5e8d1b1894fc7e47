import type { Clock } from '@canvasridge/clock';
import { DemandRate } from './demand-rate.js';
import { retryAfterMs, type QuotaDecision, type QuotaGate, type QuotaRules } from './quota-gate.js';
import { UnitBucket } from './unit-bucket.js';

export interface QuotaSharesOptions {
  readonly clock: Clock;
  readonly rules: QuotaRules;
  /**
   * This node's share of a subject's quota, from 0 to 1, given the units per second that callers request of
   * this node.
   */
  readonly share: (subject: string, demandPerSecond: number) => number;
  /** Fraction of the burst that is available at the start. */
  readonly initialBurstFraction: number;
}

/**
 * Quotas without a home node: each node enforces its share of each rate and burst without asking others. The
 * `share` option sets the shares, for example the same for all nodes, or in proportion to the demand that the
 * nodes report to each other.
 */
export class QuotaShares implements QuotaGate {
  readonly #options: QuotaSharesOptions;
  readonly #accounts = new Map<string, { readonly bucket: UnitBucket; readonly demand: DemandRate }>();

  constructor(options: QuotaSharesOptions) {
    this.#options = options;
  }

  admit(subject: string, units: number): Promise<QuotaDecision> {
    const rule = this.#options.rules(subject);
    if (rule === undefined) return Promise.resolve({ kind: 'admitted' });
    const { bucket, demand } = this.#account(subject, rule.burst);
    demand.add(units);
    const share = this.#options.share(subject, demand.perSecond);
    if (bucket.take(units, rule, share)) return Promise.resolve({ kind: 'admitted' });
    const missing = units - bucket.available(rule, share);
    return Promise.resolve({
      kind: 'refused',
      retryAfterMs: retryAfterMs(missing, rule.ratePerSecond * share),
    });
  }

  giveBack(subject: string, units: number): void {
    this.#accounts.get(subject)?.bucket.add(units);
  }

  /** Units per second that callers requested recently. */
  demandOf(subject: string): number {
    return this.#accounts.get(subject)?.demand.perSecond ?? 0;
  }

  #account(subject: string, burst: number): { readonly bucket: UnitBucket; readonly demand: DemandRate } {
    let account = this.#accounts.get(subject);
    if (account === undefined) {
      const { clock, initialBurstFraction } = this.#options;
      account = {
        bucket: new UnitBucket(clock, burst * initialBurstFraction),
        demand: new DemandRate(clock),
      };
      this.#accounts.set(subject, account);
    }
    return account;
  }
}
