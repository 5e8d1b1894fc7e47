import type { Clock } from '@canvasridge/clock';
import { LRUCache } from 'lru-cache';
import { retryAfterMs, type QuotaRule, type QuotaRules } from './quota-gate.js';
import { UnitBucket } from './unit-bucket.js';

/** A node's request to the home node of a subject for units of its quota. */
export interface LoanRequest {
  readonly subject: string;
  /** Units of each request that waits for the answer, in the order of their arrival. */
  readonly needed: readonly number[];
  /** Units to lend in advance, for requests that are likely to come soon. */
  readonly ahead: number;
  /** Units lent earlier that were not used. */
  readonly returned: number;
  /** Units per second that callers requested of the node recently. */
  readonly demand: number;
  /** The node's share of the rate as a home last set it; absent if none did. */
  readonly share?: number;
  /** The rule of a subject that the home may not know by itself; absent for others. */
  readonly rule?: QuotaRule;
}

/** The home's answer to a {@link LoanRequest}. */
export interface Loan {
  readonly subject: string;
  /** How many of the waiting requests are granted, counted from the first. */
  readonly granted: number;
  /** Units lent in advance, in addition to those of the granted requests. */
  readonly ahead: number;
  /** Time after which a request that was not granted may be tried again. */
  readonly retryAfterMs: number;
  /**
   * The node's share of the rate in proportion to its demand, from 0 to 1; it may use this much while the
   * home is unreachable.
   */
  readonly share: number;
}

/**
 * A new home does not know how much was used before it began, so it starts with only this fraction of the
 * burst.
 */
const INITIAL_BURST_FRACTION = 0.25;
/**
 * At most this fraction of the available units is lent in advance, so that one node does not hold units that
 * others need.
 */
const MAX_ADVANCE_FRACTION = 0.25;
/** The demand of a reachable node that has sent no request for this time counts as zero. */
const DEMAND_TTL_MS = 4000;

/**
 * Maximum number of tracked subjects; the least recently used, such as backends that no longer exist, are
 * dropped first.
 */
const MAX_SUBJECTS = 1024;
/** Nodes that are remembered by subject. */
const MAX_BORROWERS = 1024;

interface Account {
  readonly bucket: UnitBucket;
  readonly demands: Map<string, { perSecond: number; atMs: number }>;
  /** By node, the share of the rate that the previous home had set for it; undefined where none was set. */
  readonly previousShares: Map<string, number | undefined>;
  /**
   * Units that accrue until this time are already set aside for refused requests that were given a retry
   * delay.
   */
  reservedUntilMs: number;
}

export interface QuotaLenderOptions {
  readonly clock: Clock;
  readonly rules: QuotaRules;
  /**
   * How the retry delay of a refused request is set. `in-turn`: refused requests get increasing delays as
   * units accrue, for callers that do retry. `next-unit`: all get the time until the next request fits, for
   * nodes that then ask for whichever request is waiting.
   */
  readonly retries?: 'in-turn' | 'next-unit';
  /**
   * Nodes that became unreachable without leaving properly. They may still be running on their own share of
   * the rate.
   */
  readonly unreachableNodes: () => ReadonlySet<string>;
}

/**
 * Lends out the units of the subjects whose home is this node; no other node does. Unreachable nodes continue
 * with their share of the rate. That share is withheld here meanwhile, so that all nodes together stay within
 * the rule.
 */
export class QuotaLender {
  readonly #options: QuotaLenderOptions;
  readonly #accounts = new LRUCache<string, Account>({ max: MAX_SUBJECTS });
  /** All units used since this time were lent here. */
  readonly #startedMs: number;

  constructor(options: QuotaLenderOptions) {
    this.#options = options;
    this.#startedMs = options.clock.now();
  }

  /** Answers a node's requests in order. A request whose subject has no rule is skipped. */
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
    account.demands.delete(borrower); // so that the one that asked last is the last
    account.demands.set(borrower, { perSecond: demand, atMs: nowMs });
    if (!account.previousShares.has(borrower)) account.previousShares.set(borrower, share);
    dropOldest(account.demands);
    dropOldest(account.previousShares);
    const reachableShare = this.#reachableShare(account, nowMs);
    account.bucket.add(Math.max(returned, 0));
    let granted = 0;
    while (granted < needed.length && account.bucket.take(needed[granted] ?? 0, rule, reachableShare))
      granted += 1;
    const left = Math.max(account.bucket.available(rule, reachableShare), 0);
    const advance = granted < needed.length ? 0 : Math.min(Math.max(ahead, 0), left * MAX_ADVANCE_FRACTION);
    account.bucket.remove(advance);
    return {
      subject,
      granted,
      ahead: advance,
      retryAfterMs: this.#retryAfterMs(account, needed.slice(granted), rule, reachableShare),
      share: shareOf(account, borrower) * reachableShare,
    };
  }

  #retryAfterMs(
    account: Account,
    refused: readonly number[],
    rule: QuotaRule,
    reachableShare: number,
  ): number {
    const ratePerSecond = rule.ratePerSecond * reachableShare;
    if (this.#options.retries !== 'next-unit') return this.#staggeredRetryMs(account, refused, ratePerSecond);
    const [next] = refused;
    return next === undefined
      ? 0
      : retryAfterMs(next - account.bucket.available(rule, reachableShare), ratePerSecond);
  }

  /**
   * Staggers the retry delays of refused requests by the rate at which units accrue, so that they do not all
   * retry at once.
   */
  #staggeredRetryMs(account: Account, refused: readonly number[], ratePerSecond: number): number {
    if (refused.length === 0) return 0;
    const nowMs = this.#options.clock.now();
    const reservedMs = Math.max(account.reservedUntilMs - nowMs, 0);
    const units = refused.reduce((sum, count) => sum + count, 0);
    const waitMs = retryAfterMs(units + (reservedMs / 1000) * ratePerSecond, ratePerSecond);
    account.reservedUntilMs = nowMs + waitMs;
    return waitMs;
  }

  #account(subject: string, rule: QuotaRule): Account {
    let account = this.#accounts.get(subject);
    if (account === undefined) {
      const bucket = new UnitBucket(
        this.#options.clock,
        rule.burst * INITIAL_BURST_FRACTION,
        this.#startedMs,
      );
      account = { bucket, demands: new Map(), previousShares: new Map(), reservedUntilMs: 0 };
      this.#accounts.set(subject, account);
    }
    return account;
  }

  /**
   * The fraction of the rate that is lent here; the rest belongs to the unreachable nodes. Their part follows
   * from the demand they had reported here. A home that began while they were unreachable has no such
   * reports: it lends only the sum of the shares that the previous home had set for the nodes that ask here.
   */
  #reachableShare(account: Account, nowMs: number): number {
    const unreachable = this.#options.unreachableNodes();
    for (const [id, { atMs }] of account.demands) {
      if (!unreachable.has(id) && nowMs - atMs > DEMAND_TTL_MS) account.demands.delete(id);
    }
    if (unreachable.size === 0) return 1;
    let unreachableShare = 0;
    for (const id of unreachable) unreachableShare += shareOf(account, id);
    return unreachableShare > 0 ? 1 - Math.min(unreachableShare, 1) : previousShareSum(account);
  }
}

/** Callers choose their names. */
function dropOldest(byBorrower: Map<string, unknown>): void {
  const oldest = byBorrower.keys().next();
  if (byBorrower.size > MAX_BORROWERS && oldest.done !== true) byBorrower.delete(oldest.value);
}

/**
 * Sum of the shares set by the previous home; 1 if no node was given a share, since then nothing was lent
 * before.
 */
function previousShareSum({ previousShares }: Account): number {
  const known = [...previousShares.values()].filter((share) => share !== undefined);
  return known.length === 0
    ? 1
    : Math.min(
        known.reduce((sum, share) => sum + share, 0),
        1,
      );
}

function shareOf({ demands }: Account, borrower: string): number {
  let total = 0;
  for (const { perSecond } of demands.values()) total += perSecond;
  return total === 0 ? 0 : (demands.get(borrower)?.perSecond ?? 0) / total;
}
