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
import type { Loan, LoanRequest } from './quota-ledger.js';
import { UnitBucket } from './unit-bucket.js';

/** Asks the home for units; undefined if it gives no answer. */
export type Borrow = (requests: readonly LoanRequest[]) => Promise<readonly Loan[] | undefined>;

export interface QuotaWalletOptions {
  readonly clock: Clock;
  readonly rules: QuotaRules;
  readonly borrow: Borrow;
  /** This node's part of a rate of which no home ever told it a part, from 0 to 1. */
  readonly defaultShare: () => number;
  /** Whether the rules are this node's own knowledge, which homes have to be told. */
  readonly tellsRules?: boolean;
  /** Whether nothing is admitted while the home can't be reached, however large this node's part is. */
  readonly needsHome?: boolean;
  /** A decision was made without the home, which can't be reached. */
  readonly onAlone?: (subject: string, decision: QuotaDecision) => void;
}

/** Requests that come within this time are asked for together. */
const GATHER_MS = 2;
/** Units are asked for ahead for the requests of this time, where several come in it. */
const AHEAD_MS = 300;
/** Units that were lent ahead lapse after this time, so that what a lost node holds is known to be bounded. */
const LOAN_MS = 1000;
/** A home that gave no answer is not waited for again within this time. */
const AVOID_HOME_MS = 300;

/** A node that loses its home has its part of what comes in this time at once, as the next home has a part of the burst. */
const ALONE_FILL_MS = 1000;

/** Subjects that are remembered: those that end for good, as backends do, go with time. */
const MOST_SUBJECTS = 1024;

interface Waiting {
  readonly units: number;
  readonly decide: (decision: QuotaDecision) => void;
}

interface Account {
  readonly demand: DemandRate;
  readonly alone: UnitBucket;
  waiting: Waiting[];
  /** Units lent and not used, and when they lapse. */
  credit: number;
  creditUntilMs: number;
  /** Units that lapsed or were given back, to be returned to the home. */
  returned: number;
  /** Part of the rate that the home last told; undefined if it never did. */
  share: number | undefined;
  /** Size of the last request. */
  lastUnits: number;
  /** The home gave less ahead than was asked for, so that asking again at once is of no use. */
  isDry: boolean;
}

/**
 * A node's side of quotas that a home holds: it borrows what its requests need, and a little ahead for a subject that
 * is asked for often. While the home can't be reached it uses its own part of the rate, as the home last told it.
 */
export class QuotaWallet implements QuotaGate {
  readonly #options: QuotaWalletOptions;
  readonly #accounts = new LRUCache<string, Account>({ max: MOST_SUBJECTS });
  #isGathering = false;
  #isAsking = false;
  #avoidHomeUntilMs = -Infinity;

  constructor(options: QuotaWalletOptions) {
    this.#options = options;
  }

  admit(subject: string, units: number): Promise<QuotaDecision> {
    const rule = this.#options.rules(subject);
    if (rule === undefined) return Promise.resolve({ kind: 'admitted' });
    const account = this.#account(subject);
    account.demand.add(units);
    account.lastUnits = units;
    account.isDry = false;
    this.#lapse(account);
    if (account.waiting.length === 0 && account.credit >= units) {
      account.credit -= units;
      if (account.credit < aheadOf(account) / 2) this.#gather();
      return Promise.resolve({ kind: 'admitted' });
    }
    return new Promise((decide) => {
      account.waiting.push({ units, decide });
      this.#gather();
    });
  }

  giveBack(subject: string, units: number): void {
    const account = this.#accounts.get(subject);
    if (account !== undefined) account.returned += units;
  }

  #gather(): void {
    if (this.#isGathering) return;
    this.#isGathering = true;
    this.#options.clock.setTimer(GATHER_MS, () => {
      this.#isGathering = false;
      void this.#ask();
    });
  }

  async #ask(): Promise<void> {
    if (this.#isAsking) return;
    this.#isAsking = true;
    try {
      while (this.#hasWaiting() || this.#isLow()) {
        const asked = this.#takeRequests();
        const isAvoided = this.#options.clock.now() < this.#avoidHomeUntilMs;
        const loans = isAvoided ? undefined : await this.#options.borrow(asked.map(({ request }) => request));
        if (loans === undefined) {
          if (!isAvoided) this.#avoidHomeUntilMs = this.#options.clock.now() + AVOID_HOME_MS;
          for (const { account, waiting, request } of asked) this.#decideAlone(account, waiting, request);
          if (!this.#hasWaiting()) return;
        } else this.#takeLoans(asked, loans);
      }
    } finally {
      this.#isAsking = false;
    }
  }

  #hasWaiting(): boolean {
    for (const { waiting } of this.#accounts.values()) if (waiting.length > 0) return true;
    return false;
  }

  #isLow(): boolean {
    for (const account of this.#accounts.values()) {
      const aheadUnits = aheadOf(account);
      if (aheadUnits > 0 && account.credit < aheadUnits / 2 && !account.isDry) return true;
    }
    return false;
  }

  #takeRequests(): Asked[] {
    const asked: Asked[] = [];
    for (const [subject, account] of this.#accounts) {
      this.#lapse(account);
      const aheadUnits = Math.max(aheadOf(account) - account.credit, 0);
      if (account.waiting.length === 0 && aheadUnits === 0) continue;
      const { waiting, returned } = account;
      account.waiting = [];
      account.returned = 0;
      const needed = waiting.map(({ units }) => units);
      const demand = account.demand.perSecond;
      const known = account.share === undefined ? {} : { share: account.share };
      const request = {
        subject,
        needed,
        ahead: aheadUnits,
        returned,
        demand,
        ...known,
        ...this.#toldRule(subject),
      };
      asked.push({ account, waiting, request });
    }
    return asked;
  }

  #toldRule(subject: string): { rule?: QuotaRule } {
    const rule = this.#options.tellsRules === true ? this.#options.rules(subject) : undefined;
    return rule === undefined ? {} : { rule };
  }

  #takeLoans(asked: readonly Asked[], loans: readonly Loan[]): void {
    const bySubject = new Map(loans.map((loan) => [loan.subject, loan]));
    for (const { account, waiting, request } of asked) {
      const loan = bySubject.get(request.subject);
      if (loan === undefined) {
        this.#decideAlone(account, waiting, request);
        continue;
      }
      account.share = loan.share;
      account.credit += loan.ahead;
      account.creditUntilMs = this.#options.clock.now() + LOAN_MS;
      account.isDry = loan.ahead < request.ahead;
      for (const [index, { decide }] of waiting.entries()) {
        if (index < loan.granted) decide({ kind: 'admitted' });
        else decide({ kind: 'refused', retryAfterMs: loan.retryAfterMs });
      }
    }
  }

  /** The home gives no answer: what this node may use of the rate by itself. */
  #decideAlone(account: Account, waiting: readonly Waiting[], { subject, returned }: LoanRequest): void {
    account.returned += returned;
    account.isDry = true;
    const rule = this.#options.rules(subject);
    const share = account.share ?? this.#options.defaultShare();
    for (const { units, decide } of waiting) {
      const decision = this.#decisionAlone(account, units, rule, share);
      this.#options.onAlone?.(subject, decision);
      decide(decision);
    }
  }

  #decisionAlone(account: Account, units: number, rule: QuotaRule | undefined, share: number): QuotaDecision {
    if (rule === undefined) return ADMITTED;
    if (this.#options.needsHome === true) return { kind: 'refused', retryAfterMs: AVOID_HOME_MS };
    return takeAlone(account, units, rule, share);
  }

  #lapse(account: Account): void {
    if (account.credit === 0 || this.#options.clock.now() < account.creditUntilMs) return;
    account.returned += account.credit;
    account.credit = 0;
  }

  #account(subject: string): Account {
    let account = this.#accounts.get(subject);
    if (account === undefined) {
      const { clock } = this.#options;
      account = {
        demand: new DemandRate(clock),
        alone: new UnitBucket(clock, 0),
        waiting: [],
        credit: 0,
        creditUntilMs: 0,
        returned: 0,
        share: undefined,
        lastUnits: 0,
        isDry: false,
      };
      this.#accounts.set(subject, account);
    }
    return account;
  }
}

interface Asked {
  readonly account: Account;
  readonly waiting: readonly Waiting[];
  readonly request: LoanRequest;
}

const ADMITTED: QuotaDecision = { kind: 'admitted' };

function takeAlone(account: Account, units: number, rule: QuotaRule, share: number): QuotaDecision {
  const bounded = { ...rule, burst: Math.min(rule.burst, (rule.ratePerSecond * ALONE_FILL_MS) / 1000) };
  if (account.alone.take(units, bounded, share)) return ADMITTED;
  const missing = units - account.alone.available(bounded, share);
  return { kind: 'refused', retryAfterMs: retryAfterMs(missing, rule.ratePerSecond * share) };
}

/** Units worth asking for ahead: none for a subject of which single requests come now and then. */
function aheadOf(account: Account): number {
  const units = (account.demand.perSecond * AHEAD_MS) / 1000;
  return units >= account.lastUnits * 2 ? units : 0;
}
