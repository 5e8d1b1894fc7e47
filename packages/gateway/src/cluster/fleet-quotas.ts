import {
  QuotaLedger,
  QuotaWallet,
  type Loan,
  type LoanRequest,
  type QuotaDecision,
} from '@canvasridge/admission';
import type { QuotaRule, QuotaRules } from '@canvasridge/admission';
import { hashSeed, type Clock } from '@canvasridge/clock';
import * as z from 'zod';
import type { Telemetry } from '@canvasridge/telemetry';
import type { Cluster } from './cluster.js';
import type { PeerCaller } from './peer-caller.js';

/** Asks the home of some tenants for units of their quotas. */
export const BORROW_METHOD = 'quota.borrow';
/** The same of backends that name how many requests they take from all nodes together. */
export const RATE_BORROW_METHOD = 'rate-limit.borrow';

/** Quotas of one kind: what they are of, by which the homes are ranked, and how homes are asked. */
export interface QuotaKind {
  readonly name: 'quota' | 'rate-limit';
  readonly borrowMethod: string;
  /** Whether rules are known to those who borrow, not to homes. */
  readonly tellsRules: boolean;
  /** Whether a node without a home admits nothing, rather than its part: parts of a few requests a second are none. */
  readonly needsHome: boolean;
  /** See {@link QuotaLedgerOptions.retries}. */
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

/** Params of {@link RATE_BORROW_METHOD} as they come: each request brings the rule that its node goes by. */
const rateBorrowParams = z.object({
  node: z.string(),
  group: z.number(),
  requests: z.array(
    z.object({
      subject: z.string(),
      needed: z.array(z.number().positive()),
      ahead: z.number().nonnegative(),
      returned: z.number().nonnegative(),
      demand: z.number().nonnegative(),
      share: z.number().optional(),
      rule: z.object({ ratePerSecond: z.number().positive(), burst: z.number().nonnegative() }),
    }),
  ),
});

/** Undefined for what is no such question. */
export function readRateBorrow(params: unknown): BorrowParams | undefined {
  const { data } = rateBorrowParams.safeParse(params);
  if (data === undefined) return undefined;
  // A share that is absent is told as absent.
  const requests = data.requests.map(({ share, ...rest }) =>
    share === undefined ? rest : { ...rest, share },
  );
  return { ...data, requests };
}

/** Null from a node that does not take itself for the home. */
export type BorrowReply = readonly Loan[] | null;

/** What the home and its borrowers see of the fleet. */
export type QuotaSight = Pick<Cluster, 'selfId' | 'candidates' | 'peerAddress' | 'lostMembers'>;

/** By how much operators let the units of a window exceed rate and burst, as nodes do not act as one. */
export interface QuotaTolerance {
  readonly windowSeconds: number;
  /** Part of what the rule allows in a window. */
  readonly overage: number;
  /** Units beside that. */
  readonly slack: number;
}

/**
 * Part of the tolerance that callers get as a larger burst: requests are large beside the burst of a small tenant, and to
 * refuse one that is within the window serves nobody. The rest is for what nodes out of sight of one another lend.
 */
const TOLERANCE_FOR_BURSTS = 0.5;

/** The rule by which units are lent, so that what a window takes stays within rule and tolerance. */
export function widened(rule: QuotaRule, tolerance: QuotaTolerance | undefined): QuotaRule {
  if (tolerance === undefined) return rule;
  const { windowSeconds, overage, slack } = tolerance;
  const { ratePerSecond, burst } = rule;
  const tolerated = overage * (ratePerSecond * windowSeconds + burst) + slack;
  return { ratePerSecond, burst: burst + TOLERANCE_FOR_BURSTS * tolerated };
}

export interface FleetQuotasOptions {
  readonly kind: QuotaKind;
  readonly clock: Clock;
  readonly cluster: QuotaSight;
  readonly network: PeerCaller;
  readonly telemetry: Telemetry;
  readonly rules: QuotaRules;
  /** Subjects that have rules. */
  readonly subjectCount: () => number;
  /** Part of a bound on the whole fleet that this node may use without asking any other, from 0 to 1. */
  readonly fleetShare: () => number;
}

/**
 * Subjects of which one node is the home. A node asks each home that it needs some three times a second for all of its
 * subjects together, so few homes keep the calls few; more of them share the work of a large number of subjects.
 */
const SUBJECTS_PER_HOME = 64;
/** A home in reach answers in a few milliseconds; a request waits no longer for one that is lost. */
const BORROW_TIMEOUT_MS = 150;

/** Quotas that hold over all nodes: each group of subjects has a home, the node that ranks first for it. */
export class FleetQuotas {
  readonly #options: FleetQuotasOptions;
  readonly #wallets = new Map<number, QuotaWallet>();
  /** Of the groups whose home this node is. */
  readonly #ledgers = new Map<number, QuotaLedger>();
  #alone = 0;

  constructor(options: FleetQuotasOptions) {
    this.#options = options;
  }

  /** To be called about once a second: begins and ends being a home as the ranking tells. */
  update(): void {
    for (let group = 0; group < this.#groups(); group += 1) {
      if (this.#homeOf(group) === this.#options.cluster.selfId) this.#ledger(group);
    }
    for (const group of this.#ledgers.keys()) {
      // What another home lends meanwhile is not known here, so a later time as home begins anew.
      if (this.#homeOf(group) !== this.#options.cluster.selfId) this.#ledgers.delete(group);
    }
    this.#reportAlone();
  }

  admit(subject: string, units: number): Promise<QuotaDecision> {
    return this.#wallet(subject).admit(subject, units);
  }

  giveBack(subject: string, units: number): void {
    this.#wallet(subject).giveBack(subject, units);
  }

  /** Answers a node that takes this one for the home of a group. */
  answer({ node, group, requests }: BorrowParams): BorrowReply {
    if (this.#homeOf(group) !== this.#options.cluster.selfId) return null;
    return this.#ledger(group).lend(node, requests);
  }

  #groups(): number {
    return Math.max(1, Math.ceil(this.#options.subjectCount() / SUBJECTS_PER_HOME));
  }

  #homeOf(group: number): string | undefined {
    return this.#options.cluster.candidates(`${this.#options.kind.name}-${group}`)[0];
  }

  #wallet(subject: string): QuotaWallet {
    const group = hashSeed(subject) % this.#groups();
    let wallet = this.#wallets.get(group);
    if (wallet === undefined) {
      const { clock, rules, fleetShare, kind } = this.#options;
      wallet = new QuotaWallet({
        clock,
        rules,
        tellsRules: kind.tellsRules,
        needsHome: kind.needsHome,
        borrow: (requests) => this.#borrow(group, requests),
        defaultShare: fleetShare,
        onAlone: () => {
          this.#alone += 1;
        },
      });
      this.#wallets.set(group, wallet);
    }
    return wallet;
  }

  async #borrow(group: number, requests: readonly LoanRequest[]): Promise<readonly Loan[] | undefined> {
    const { cluster, network, kind } = this.#options;
    const home = this.#homeOf(group);
    if (home === cluster.selfId) return this.#ledger(group).lend(cluster.selfId, requests);
    const address = home === undefined ? undefined : cluster.peerAddress(home);
    if (address === undefined) return undefined;
    const params: BorrowParams = { node: cluster.selfId, group, requests };
    const reply = await network.to(address).call(kind.borrowMethod, params, BORROW_TIMEOUT_MS);
    return (reply as BorrowReply | undefined) ?? undefined;
  }

  #ledger(group: number): QuotaLedger {
    let ledger = this.#ledgers.get(group);
    if (ledger === undefined) {
      const { clock, rules, cluster, telemetry, kind } = this.#options;
      ledger = new QuotaLedger({
        clock,
        rules: kind.tellsRules ? () => undefined : rules,
        retries: kind.retries,
        outOfSight: () => new Set(cluster.lostMembers()),
      });
      this.#ledgers.set(group, ledger);
      telemetry.event('info', `${kind.name}.home`, String(group), { home: cluster.selfId });
    }
    return ledger;
  }

  /** One line a second at the most, only while decisions are made without a home. */
  #reportAlone(): void {
    if (this.#alone === 0) return;
    const { kind, telemetry } = this.#options;
    telemetry.event('warn', `${kind.name}.without-home`, kind.name, { decisions: this.#alone });
    this.#alone = 0;
  }
}
