import type { Clock } from '@canvasridge/clock';
import { LRUCache } from 'lru-cache';
import { DemandRate } from './demand-rate.js';
import {
  retryAfterMs,
  type QuotaDecision,
  type QuotaGate,
  type QuotaRule,
  type QuotaRules,
} from './quota-gate.js';
import type { Loan, LoanRequest } from './quota-lender.js';
import { UnitBucket } from './unit-bucket.js';

/** Sends requests to the home node; resolves to undefined if it does not answer. */
export type SendLoanRequests = (requests: readonly LoanRequest[]) => Promise<readonly Loan[] | undefined>;

export interface QuotaBorrowerOptions {
  readonly clock: Clock;
  readonly rules: QuotaRules;
  readonly borrow: SendLoanRequests;
  /** This node's share, from 0 to 1, of a rate for which no home has set its share yet. */
  readonly defaultShare: () => number;
  /** Whether only this node knows its rules, so that requests to homes have to carry them. */
  readonly tellsRules?: boolean;
  /** Whether nothing is admitted while the home is unreachable, however large this node's share is. */
  readonly needsHome?: boolean;
  /** Called for each decision made locally because the home is unreachable. */
  readonly onLocalDecision?: (subject: string, decision: QuotaDecision) => void;
  /** Called with an error within a request to the home; its subjects are decided locally then. */
  readonly onFailure: (cause: unknown) => void;
}

/** Requests that arrive within this time are sent to the home together. */
const BATCH_MS = 2;
/** Units are borrowed in advance for the demand of this time, if that is at least two requests. */
const ADVANCE_MS = 300;
/** Units borrowed in advance expire after this time, so that the units held by a lost node are bounded. */
const ADVANCE_TTL_MS = 1000;
/** After an unanswered request, the home is not asked again for this time; requests are decided locally. */
const HOME_RETRY_MS = 300;

/**
 * While a node decides locally, its burst is at most its share of the units that accrue in this time, since
 * the next home starts with a fraction of the burst as well.
 */
const LOCAL_BURST_MS = 1000;

/**
 * Maximum number of tracked subjects; the least recently used, such as backends that no longer exist, are
 * dropped first.
 */
const MAX_SUBJECTS = 1024;

interface Waiting {
  readonly units: number;
  readonly decide: (decision: QuotaDecision) => void;
}

interface Account {
  readonly demand: DemandRate;
  readonly localBucket: UnitBucket;
  waiting: Waiting[];
  /** Unused units borrowed in advance, and the time at which they expire. */
  advance: number;
  advanceExpiresMs: number;
  /** Units that expired or were given back, to be returned to the home with the next request. */
  returned: number;
  /** This node's share of the rate as the home last set it; undefined if it never did. */
  share: number | undefined;
  /** Units of the last request. */
  lastUnits: number;
  /**
   * Whether the home lent less in advance than requested or did not answer, so that asking again at once is
   * of no use.
   */
  isHomeShort: boolean;
}

/**
 * Admits a node's requests against quotas that a home node manages. It borrows the units of its requests from
 * the home, and some in advance for subjects with frequent requests. While the home is unreachable, it
 * decides locally by this node's share of the rate as the home last set it.
 */
export class QuotaBorrower implements QuotaGate {
  readonly #options: QuotaBorrowerOptions;
  readonly #accounts = new LRUCache<string, Account>({ max: MAX_SUBJECTS });
  #isBatchScheduled = false;
  #isBorrowing = false;
  #skipHomeUntilMs = -Infinity;

  constructor(options: QuotaBorrowerOptions) {
    this.#options = options;
  }

  admit(subject: string, units: number): Promise<QuotaDecision> {
    const rule = this.#options.rules(subject);
    if (rule === undefined) return Promise.resolve({ kind: 'admitted' });
    const account = this.#account(subject);
    account.demand.add(units);
    account.lastUnits = units;
    account.isHomeShort = false;
    this.#expireAdvance(account);
    if (account.waiting.length === 0 && account.advance >= units) {
      account.advance -= units;
      if (account.advance < targetAdvance(account) / 2) this.#scheduleBatch();
      return Promise.resolve({ kind: 'admitted' });
    }
    return new Promise((decide) => {
      account.waiting.push({ units, decide });
      this.#scheduleBatch();
    });
  }

  giveBack(subject: string, units: number): void {
    const account = this.#accounts.get(subject);
    if (account !== undefined) account.returned += units;
  }

  #scheduleBatch(): void {
    if (this.#isBatchScheduled) return;
    this.#isBatchScheduled = true;
    this.#options.clock.setTimer(BATCH_MS, () => {
      this.#isBatchScheduled = false;
      this.#borrow().catch(this.#options.onFailure);
    });
  }

  async #borrow(): Promise<void> {
    if (this.#isBorrowing) return;
    this.#isBorrowing = true;
    try {
      while (this.#hasWaiting() || this.#needsAdvance()) {
        const batch = this.#takePending();
        const isHomeSkipped = this.#options.clock.now() < this.#skipHomeUntilMs;
        if (isHomeSkipped || !(await this.#isDecidedByHome(batch))) {
          if (!isHomeSkipped) this.#skipHomeUntilMs = this.#options.clock.now() + HOME_RETRY_MS;
          for (const { account, waiting, request } of batch) this.#decideLocally(account, waiting, request);
          if (!this.#hasWaiting()) return;
        }
      }
    } finally {
      this.#isBorrowing = false;
    }
  }

  /** Resolves to whether the home has answered, so that all requests of the batch are decided. */
  async #isDecidedByHome(batch: readonly PendingLoan[]): Promise<boolean> {
    try {
      const loans = await this.#options.borrow(batch.map(({ request }) => request));
      if (loans !== undefined) this.#applyLoans(batch, loans);
      return loans !== undefined;
    } catch (cause) {
      this.#options.onFailure(cause);
      return false;
    }
  }

  #hasWaiting(): boolean {
    for (const { waiting } of this.#accounts.values()) if (waiting.length > 0) return true;
    return false;
  }

  #needsAdvance(): boolean {
    for (const account of this.#accounts.values()) {
      const target = targetAdvance(account);
      if (target > 0 && account.advance < target / 2 && !account.isHomeShort) return true;
    }
    return false;
  }

  #takePending(): PendingLoan[] {
    const batch: PendingLoan[] = [];
    for (const [subject, account] of this.#accounts) {
      this.#expireAdvance(account);
      const missingAdvance = Math.max(targetAdvance(account) - account.advance, 0);
      if (account.waiting.length === 0 && missingAdvance === 0) continue;
      const { waiting, returned } = account;
      account.waiting = [];
      account.returned = 0;
      const needed = waiting.map(({ units }) => units);
      const demand = account.demand.perSecond;
      const knownShare = account.share === undefined ? {} : { share: account.share };
      const request = {
        subject,
        needed,
        ahead: missingAdvance,
        returned,
        demand,
        ...knownShare,
        ...this.#ruleToSend(subject),
      };
      batch.push({ account, waiting, request });
    }
    return batch;
  }

  #ruleToSend(subject: string): { rule?: QuotaRule } {
    const rule = this.#options.tellsRules === true ? this.#options.rules(subject) : undefined;
    return rule === undefined ? {} : { rule };
  }

  #applyLoans(batch: readonly PendingLoan[], loans: readonly Loan[]): void {
    const bySubject = new Map(loans.map((loan) => [loan.subject, loan]));
    for (const { account, waiting, request } of batch) {
      const loan = bySubject.get(request.subject);
      if (loan === undefined) {
        this.#decideLocally(account, waiting, request);
        continue;
      }
      account.share = loan.share;
      account.advance += loan.ahead;
      account.advanceExpiresMs = this.#options.clock.now() + ADVANCE_TTL_MS;
      account.isHomeShort = loan.ahead < request.ahead;
      for (const [index, { decide }] of waiting.entries()) {
        if (index < loan.granted) decide({ kind: 'admitted' });
        else decide({ kind: 'refused', retryAfterMs: loan.retryAfterMs });
      }
    }
  }

  /** Decides by this node's own share of the rate, as the home did not answer. */
  #decideLocally(account: Account, waiting: readonly Waiting[], { subject, returned }: LoanRequest): void {
    account.returned += returned;
    account.isHomeShort = true;
    const rule = this.#options.rules(subject);
    const share = account.share ?? this.#options.defaultShare();
    for (const { units, decide } of waiting) {
      const decision = this.#localDecision(account, units, rule, share);
      this.#options.onLocalDecision?.(subject, decision);
      decide(decision);
    }
  }

  #localDecision(account: Account, units: number, rule: QuotaRule | undefined, share: number): QuotaDecision {
    if (rule === undefined) return ADMITTED;
    if (this.#options.needsHome === true) return { kind: 'refused', retryAfterMs: HOME_RETRY_MS };
    return takeLocally(account, units, rule, share);
  }

  #expireAdvance(account: Account): void {
    if (account.advance === 0 || this.#options.clock.now() < account.advanceExpiresMs) return;
    account.returned += account.advance;
    account.advance = 0;
  }

  #account(subject: string): Account {
    let account = this.#accounts.get(subject);
    if (account === undefined) {
      const { clock } = this.#options;
      account = {
        demand: new DemandRate(clock),
        localBucket: new UnitBucket(clock, 0),
        waiting: [],
        advance: 0,
        advanceExpiresMs: 0,
        returned: 0,
        share: undefined,
        lastUnits: 0,
        isHomeShort: false,
      };
      this.#accounts.set(subject, account);
    }
    return account;
  }
}

/** What is asked of the home for one subject, and the requests that wait for the answer. */
interface PendingLoan {
  readonly account: Account;
  readonly waiting: readonly Waiting[];
  readonly request: LoanRequest;
}

const ADMITTED: QuotaDecision = { kind: 'admitted' };

function takeLocally(account: Account, units: number, rule: QuotaRule, share: number): QuotaDecision {
  const bounded = { ...rule, burst: Math.min(rule.burst, (rule.ratePerSecond * LOCAL_BURST_MS) / 1000) };
  if (account.localBucket.take(units, bounded, share)) return ADMITTED;
  const missing = units - account.localBucket.available(bounded, share);
  return { kind: 'refused', retryAfterMs: retryAfterMs(missing, rule.ratePerSecond * share) };
}

/**
 * Units to hold in advance at the present demand; none if that is less than two requests of the last size.
 */
function targetAdvance(account: Account): number {
  const units = (account.demand.perSecond * ADVANCE_MS) / 1000;
  return units >= account.lastUnits * 2 ? units : 0;
}
