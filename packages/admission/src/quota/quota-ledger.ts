import type { Clock } from '@canvasridge/clock';
import { LRUCache } from 'lru-cache';
import { retryAfterMs, type QuotaRule, type QuotaRules } from './quota-gate.js';
import { UnitBucket } from './unit-bucket.js';

/** What a node asks the home of a subject for. */
export interface LoanRequest {
  readonly subject: string;
  /** Units of the requests that wait for it now, one entry each, in their order. */
  readonly needed: readonly number[];
  /** Units for requests that are likely to come soon. */
  readonly ahead: number;
  /** Units lent before that were not used. */
  readonly returned: number;
  /** Units a second that callers asked the node for of late. */
  readonly demand: number;
  /** The node's part of the rate as a home last told it; absent if none did. */
  readonly share?: number;
  /** The rule, of subjects whose rule a home may not know by itself; absent for others. */
  readonly rule?: QuotaRule;
}

/** What the home lends. */
export interface Loan {
  readonly subject: string;
  /** For the first so many of the requests that wait. */
  readonly granted: number;
  /** Beside those. */
  readonly ahead: number;
  /** When a request that was left out may come back. */
  readonly retryAfterMs: number;
  /** The node's part of the rate by its part of all demand, from 0 to 1: what it may use while it can't ask. */
  readonly share: number;
}

/** A home knows nothing of what was used before it began: it starts with this part of the burst. */
const FIRST_FILL = 0.25;
/** What is lent ahead is at most this part of what is there, so that one node does not hold what others need. */
const AHEAD_SHARE = 0.25;
/** A node that has not asked for so long has no demand. */
const DEMAND_KEPT_MS = 4000;

/** Subjects that a home remembers: those that end for good, as backends do, go with time. */
const MOST_SUBJECTS = 1024;

interface Account {
  readonly bucket: UnitBucket;
  readonly demands: Map<string, { perSecond: number; atMs: number }>;
  /** Parts of the rate that the home before told the nodes, by node; undefined where none was told. */
  readonly inherited: Map<string, number | undefined>;
  /** Up to this moment units that come are already promised to requests that were told to come back. */
  promisedMs: number;
}

export interface QuotaLedgerOptions {
  readonly clock: Clock;
  readonly rules: QuotaRules;
  /**
   * When a request that was refused is told to come back: `in-turn`, one after another as units come, for callers that do come
   * back; `next-unit`, for nodes that ask for whichever request is there then.
   */
  readonly retries?: 'in-turn' | 'next-unit';
  /** Nodes that went out of sight without a word: they may run on what falls to them. */
  readonly outOfSight: () => ReadonlySet<string>;
}

/**
 * The home of some subjects: it alone hands out their units. Nodes that it lost sight of keep their part of the rate,
 * which is left out of what it lends meanwhile, so that both together stay within the rule.
 */
export class QuotaLedger {
  readonly #options: QuotaLedgerOptions;
  readonly #accounts = new LRUCache<string, Account>({ max: MOST_SUBJECTS });
  /** Since then all that was used was lent here. */
  readonly #startedMs: number;

  constructor(options: QuotaLedgerOptions) {
    this.#options = options;
    this.#startedMs = options.clock.now();
  }

  lend(borrower: string, requests: readonly LoanRequest[]): Loan[] {
    const loans: Loan[] = [];
    for (const request of requests) {
      const rule = this.#options.rules(request.subject) ?? request.rule;
      if (rule !== undefined) loans.push(this.#lendOne(borrower, request, rule));
    }
    return loans;
  }

  #lendOne(borrower: string, request: LoanRequest, rule: QuotaRule): Loan {
    const { subject, needed, ahead, returned, demand, share } = request;
    const account = this.#account(subject, rule);
    const nowMs = this.#options.clock.now();
    account.demands.set(borrower, { perSecond: demand, atMs: nowMs });
    if (!account.inherited.has(borrower)) account.inherited.set(borrower, share);
    const inSight = this.#shareInSight(account, nowMs);
    account.bucket.add(Math.max(returned, 0));
    let granted = 0;
    while (granted < needed.length && account.bucket.take(needed[granted] ?? 0, rule, inSight)) granted += 1;
    const left = Math.max(account.bucket.available(rule, inSight), 0);
    const lentAhead = granted < needed.length ? 0 : Math.min(Math.max(ahead, 0), left * AHEAD_SHARE);
    account.bucket.remove(lentAhead);
    return {
      subject,
      granted,
      ahead: lentAhead,
      retryAfterMs: this.#retryAfterMs(account, needed.slice(granted), rule, inSight),
      share: shareOf(account, borrower) * inSight,
    };
  }

  #retryAfterMs(account: Account, refused: readonly number[], rule: QuotaRule, inSight: number): number {
    const ratePerSecond = rule.ratePerSecond * inSight;
    if (this.#options.retries !== 'next-unit') return this.#promise(account, refused, ratePerSecond);
    const [next] = refused;
    return next === undefined
      ? 0
      : retryAfterMs(next - account.bucket.available(rule, inSight), ratePerSecond);
  }

  /** Requests that are told to come back come one after another, as units come, and not all at once. */
  #promise(account: Account, refused: readonly number[], ratePerSecond: number): number {
    if (refused.length === 0) return 0;
    const nowMs = this.#options.clock.now();
    const aheadMs = Math.max(account.promisedMs - nowMs, 0);
    const units = refused.reduce((sum, count) => sum + count, 0);
    const waitMs = retryAfterMs(units + (aheadMs / 1000) * ratePerSecond, ratePerSecond);
    account.promisedMs = nowMs + waitMs;
    return waitMs;
  }

  #account(subject: string, rule: QuotaRule): Account {
    let account = this.#accounts.get(subject);
    if (account === undefined) {
      const bucket = new UnitBucket(this.#options.clock, rule.burst * FIRST_FILL, this.#startedMs);
      account = { bucket, demands: new Map(), inherited: new Map(), promisedMs: 0 };
      this.#accounts.set(subject, account);
    }
    return account;
  }

  /**
   * The part of the rate that is lent here. Nodes out of sight have theirs: as their demand was known here, or, for a home
   * that began while they were out of sight, all but what the home before had told the nodes that ask here.
   */
  #shareInSight(account: Account, nowMs: number): number {
    const outOfSight = this.#options.outOfSight();
    for (const [id, { atMs }] of account.demands) {
      if (!outOfSight.has(id) && nowMs - atMs > DEMAND_KEPT_MS) account.demands.delete(id);
    }
    if (outOfSight.size === 0) return 1;
    let away = 0;
    for (const id of outOfSight) away += shareOf(account, id);
    return away > 0 ? 1 - Math.min(away, 1) : inheritedShare(account);
  }
}

/** 1 where no node was told a part: nothing was lent before. */
function inheritedShare({ inherited }: Account): number {
  const told = [...inherited.values()].filter((share) => share !== undefined);
  return told.length === 0
    ? 1
    : Math.min(
        told.reduce((sum, share) => sum + share, 0),
        1,
      );
}

function shareOf({ demands }: Account, borrower: string): number {
  let total = 0;
  for (const { perSecond } of demands.values()) total += perSecond;
  return total === 0 ? 0 : (demands.get(borrower)?.perSecond ?? 0) / total;
}
