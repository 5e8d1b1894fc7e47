import {
  QuotaLender,
  QuotaBorrower,
  type Loan,
  type LoanRequest,
  type QuotaDecision,
} from '@canvasridge/admission';
import type { QuotaRule, QuotaRules } from '@canvasridge/admission';
import { hashSeed, type Clock } from '@canvasridge/clock';
import * as z from 'zod';
import { errorFields, type Telemetry } from '@canvasridge/telemetry';
import { UnreadLog } from '../peers/unread-log.js';
import type { Cluster } from './cluster.js';
import type { PeerCaller } from './peer-caller.js';
import { listOf } from '../peers/list-of.js';

/** Asks the home node of some tenants for units of their quotas. */
export const BORROW_METHOD = 'quota.borrow';
/** The same for backends that announce how many requests they accept from all nodes together. */
export const RATE_BORROW_METHOD = 'rate-limit.borrow';

/** A kind of quota: what it limits, the name by which home nodes are ranked, and how they are asked. */
export interface QuotaKind {
  readonly name: 'quota' | 'rate-limit';
  readonly borrowMethod: string;
  /** Whether the borrowing nodes know the rules and send them to the homes, which do not know them. */
  readonly tellsRules: boolean;
  /**
   * Whether a node without a home admits nothing, rather than its share: a share of a few requests a second
   * is too small to use.
   */
  readonly needsHome: boolean;
  /** See {@link QuotaLenderOptions.retries}. */
  readonly retries: 'in-turn' | 'next-unit';
}

export const TENANT_QUOTAS: QuotaKind = {
  name: 'quota',
  borrowMethod: BORROW_METHOD,
  tellsRules: false,
  needsHome: false,
  retries: 'in-turn',
};
export const BACKEND_RATES: QuotaKind = {
  name: 'rate-limit',
  borrowMethod: RATE_BORROW_METHOD,
  tellsRules: true,
  needsHome: true,
  retries: 'next-unit',
};

/** Params of {@link BORROW_METHOD} and {@link RATE_BORROW_METHOD}. */
export interface BorrowParams {
  readonly node: string;
  readonly group: number;
  readonly requests: readonly LoanRequest[];
}

/** Far above the groups of the largest fleet; each one that is asked for takes memory. */
const MAX_GROUPS = 65_536;
const MAX_NAME_LENGTH = 1024;
const MAX_REQUESTS = 65_536;
const MAX_UNITS = 1_000_000_000_000;

const name = z.string().max(MAX_NAME_LENGTH);
const units = z.number().min(0).max(MAX_UNITS);
const difference = z.number().min(-MAX_UNITS).max(MAX_UNITS);

const loanRequest = z.object({
  subject: name,
  needed: listOf(units, MAX_REQUESTS),
  ahead: difference,
  returned: difference,
  demand: units,
  share: z.number().exactOptional(),
});

const borrower = { node: name, group: z.int().min(0).max(MAX_GROUPS) };

/** Schema of the params of {@link BORROW_METHOD}. */
export const borrowParams: z.ZodType<BorrowParams> = z.object({
  ...borrower,
  requests: listOf(loanRequest, MAX_REQUESTS),
});

/**
 * Schema of the params of {@link RATE_BORROW_METHOD}: each request carries the rule that the sending node
 * applies.
 */
export const rateBorrowParams: z.ZodType<BorrowParams> = z.object({
  ...borrower,
  requests: listOf(
    loanRequest.extend({
      needed: listOf(units.positive(), MAX_REQUESTS),
      ahead: units,
      returned: units,
      rule: z.object({ ratePerSecond: z.number().positive(), burst: units }),
    }),
    MAX_REQUESTS,
  ),
});

/** Null from a node that does not consider itself the home. */
export type BorrowReply = readonly Loan[] | null;

/** Schema of a {@link BorrowReply}. */
const borrowReply = listOf(
  z.object({
    subject: name,
    granted: z.int().min(0),
    ahead: units,
    retryAfterMs: z.number().min(0),
    share: z.number().min(0),
  } satisfies Record<keyof Loan, z.ZodType>),
).nullable();

/** The part of the cluster that homes and borrowers use. */
export type QuotaCluster = Pick<Cluster, 'selfId' | 'candidates' | 'peerAddress' | 'lostMembers'>;

/**
 * By how much operators let the units of a window exceed rate and burst, as nodes can't act in perfect
 * coordination.
 */
export interface QuotaTolerance {
  readonly windowSeconds: number;
  /** Fraction of what the rule allows in a window. */
  readonly overage: number;
  /** Units in addition to that. */
  readonly slack: number;
}

/**
 * Fraction of the tolerance that callers get as a larger burst: requests are large compared with the burst of
 * a small tenant, and refusing one that is within the window helps nobody. The rest is for units lent by
 * several homes at once, while nodes do not see one another.
 */
const BURST_TOLERANCE_SHARE = 0.5;

/** The rule by which units are lent, chosen so that the use of a window stays within rule and tolerance. */
export function widenRule(rule: QuotaRule, tolerance: QuotaTolerance | undefined): QuotaRule {
  if (tolerance === undefined) return rule;
  const { windowSeconds, overage, slack } = tolerance;
  const { ratePerSecond, burst } = rule;
  const tolerated = overage * (ratePerSecond * windowSeconds + burst) + slack;
  return { ratePerSecond, burst: burst + BURST_TOLERANCE_SHARE * tolerated };
}

export interface FleetQuotasOptions {
  readonly kind: QuotaKind;
  readonly clock: Clock;
  readonly cluster: QuotaCluster;
  readonly network: PeerCaller;
  readonly telemetry: Telemetry;
  readonly rules: QuotaRules;
  /** Number of subjects that have rules. */
  readonly subjectCount: () => number;
  /** Fraction of a limit for the whole fleet that this node may use without asking any other, from 0 to 1. */
  readonly fleetShare: () => number;
}

/**
 * Number of subjects that share a home node. A node asks each home that it needs about three times a second
 * for all of its subjects together, so few homes keep the calls few, while more homes spread the work for a
 * large number of subjects.
 */
const SUBJECTS_PER_HOME = 64;
/**
 * A reachable home answers in a few milliseconds; a request waits no longer than this for one that is lost.
 */
const BORROW_TIMEOUT_MS = 150;

/**
 * Quotas that apply to all nodes together. Their subjects, tenants or backends, are divided into groups. Each
 * group has a home, the node that ranks first for it, from which the other nodes borrow units.
 */
export class FleetQuotas {
  readonly #options: FleetQuotasOptions;
  readonly #borrowers = new Map<number, QuotaBorrower>();
  /** By group, for the groups whose home this node is. */
  readonly #lenders = new Map<number, QuotaLender>();
  readonly #log: UnreadLog;
  #decisionsWithoutHome = 0;

  constructor(options: FleetQuotasOptions) {
    this.#options = options;
    this.#log = new UnreadLog(options.telemetry);
  }

  /** Call it about once a second: starts and ends being the home of groups according to the ranking. */
  update(): void {
    for (let group = 0; group < this.#groups(); group += 1) {
      if (this.#homeOf(group) === this.#options.cluster.selfId) this.#lender(group);
    }
    for (const group of this.#lenders.keys()) {
      // What another home lends meanwhile is not known here, so a later period as home starts with a new
      // lender.
      if (this.#homeOf(group) !== this.#options.cluster.selfId) this.#lenders.delete(group);
    }
    this.#reportDecisionsWithoutHome();
  }

  admit(subject: string, units: number): Promise<QuotaDecision> {
    return this.#borrower(subject).admit(subject, units);
  }

  giveBack(subject: string, units: number): void {
    this.#borrower(subject).giveBack(subject, units);
  }

  /** Answers a node that considers this one the home of a group. */
  answer({ node, group, requests }: BorrowParams): BorrowReply {
    // A node asks for a group that is not known here while it has a configuration with more subjects, or by mistake.
    if (group >= this.#groups() || this.#homeOf(group) !== this.#options.cluster.selfId) return null;
    return this.#lender(group).lend(node, requests);
  }

  #groups(): number {
    return Math.max(1, Math.ceil(this.#options.subjectCount() / SUBJECTS_PER_HOME));
  }

  #homeOf(group: number): string | undefined {
    return this.#options.cluster.candidates(`${this.#options.kind.name}-${group}`)[0];
  }

  #borrower(subject: string): QuotaBorrower {
    const group = hashSeed(subject) % this.#groups();
    let borrower = this.#borrowers.get(group);
    if (borrower === undefined) {
      const { clock, rules, fleetShare, kind, telemetry } = this.#options;
      borrower = new QuotaBorrower({
        clock,
        rules,
        tellsRules: kind.tellsRules,
        needsHome: kind.needsHome,
        borrow: (requests) => this.#borrow(group, requests),
        defaultShare: fleetShare,
        onFailure: (cause) => telemetry.event('error', 'task.failed', 'quota-loan', errorFields(cause)),
        onLocalDecision: () => {
          this.#decisionsWithoutHome += 1;
        },
      });
      this.#borrowers.set(group, borrower);
    }
    return borrower;
  }

  async #borrow(group: number, requests: readonly LoanRequest[]): Promise<readonly Loan[] | undefined> {
    const { cluster, network, kind } = this.#options;
    const home = this.#homeOf(group);
    if (home === cluster.selfId) return this.#lender(group).lend(cluster.selfId, requests);
    const address = home === undefined ? undefined : cluster.peerAddress(home);
    if (address === undefined) return undefined;
    const params: BorrowParams = { node: cluster.selfId, group, requests };
    const reply = await network.to(address).call(kind.borrowMethod, params, BORROW_TIMEOUT_MS);
    if (reply === undefined) return undefined;
    return this.#log.read(borrowReply, 'peer.answer-unread', address, reply) ?? undefined;
  }

  #lender(group: number): QuotaLender {
    let lender = this.#lenders.get(group);
    if (lender === undefined) {
      const { clock, rules, cluster, telemetry, kind } = this.#options;
      lender = new QuotaLender({
        clock,
        rules: kind.tellsRules ? () => undefined : rules,
        retries: kind.retries,
        unreachableNodes: () => new Set(cluster.lostMembers()),
      });
      this.#lenders.set(group, lender);
      telemetry.event('info', `${kind.name}.home`, String(group), { home: cluster.selfId });
    }
    return lender;
  }

  /** Logs at most one line a second, and only while decisions are made without a home. */
  #reportDecisionsWithoutHome(): void {
    if (this.#decisionsWithoutHome === 0) return;
    const { kind, telemetry } = this.#options;
    telemetry.event('warn', `${kind.name}.without-home`, kind.name, {
      decisions: this.#decisionsWithoutHome,
    });
    this.#decisionsWithoutHome = 0;
  }
}
