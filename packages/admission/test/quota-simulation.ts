import { Random, VirtualClock } from '@canvasridge/clock';
import { QuotaLender, QuotaShares, QuotaBorrower, type QuotaGate, type QuotaRule } from '../src/index.js';

/** How the nodes of a fleet enforce a common quota. */
export type Strategy = 'even shares' | 'shares by demand' | 'loans of a home';

/** Fault that is injected while the simulation runs. */
export type Fault = 'none' | 'home killed' | 'a third cut off' | 'all restarted';

export interface SimulationOptions {
  readonly strategy: Strategy;
  readonly nodes: number;
  /** Number of nodes to which callers send requests; the others get none. */
  readonly targets: number;
  readonly fault: Fault;
  /** Demand before and after it jumps, as fractions of the rate. */
  readonly demand: readonly [before: number, after: number];
  readonly seed: number;
}

export interface SimulationResult {
  /** Maximum of the units that ran within any window, as a fraction of what the rule allows in a window. */
  readonly worstWindow: number;
  /**
   * Of the units that a single bucket for the whole fleet would have admitted, the fraction that was refused.
   */
  readonly wronglyRefused: number;
  readonly messagesPerNodeSecond: number;
  readonly bytesPerNodeSecond: number;
}

export const RULE: QuotaRule = { ratePerSecond: 60_000, burst: 60_000 };
const SUBJECT = 'tenant';
const WINDOW_MS = 8000;
const DURATION_MS = 24_000;
const JUMP_MS = 8000;
/** Time of the fault, and the end of a cut. */
const FAULT_MS = 12_000;
const HEALED_MS = 18_000;
/** Membership detects a lost node after this time. */
const DETECTION_MS = 1800;
const DELAY_MS = 4;
const CALL_TIMEOUT_MS = 150;
/** Interval at which nodes gossip their demand to all others, and the delay until it arrives. */
const GOSSIP_PERIOD_MS = 500;
const GOSSIP_DELAY_MS = 600;
const REQUEST_UNITS = 2400;
/**
 * Size of the headers of a message (a datagram, or a call or answer on a connection), and of a subject's
 * entry in it.
 */
const MESSAGE_BYTES = 120;
const ENTRY_BYTES = 40;

interface TimedRequest {
  readonly atMs: number;
  readonly units: number;
}

/**
 * Simulates requests of one subject to a fleet in virtual time, and measures what was admitted and refused.
 */
export class QuotaSimulation {
  readonly #clock = new VirtualClock();
  readonly #options: SimulationOptions;
  readonly #random: Random;
  readonly #admitted: TimedRequest[] = [];
  readonly #decided: (TimedRequest & { readonly admitted: boolean })[] = [];
  #gates: QuotaGate[] = [];
  #lenders: (QuotaLender | undefined)[] = [];
  #messages = 0;
  #bytes = 0;
  #cutFromMs = Infinity;
  #cutUntilMs = Infinity;
  #homeKilledMs = Infinity;

  constructor(options: SimulationOptions) {
    this.#options = options;
    this.#random = new Random(options.seed);
    this.#restart(true);
  }

  async run(): Promise<SimulationResult> {
    const { nodes, fault } = this.#options;
    if (fault === 'home killed') this.#homeKilledMs = FAULT_MS;
    if (fault === 'a third cut off') [this.#cutFromMs, this.#cutUntilMs] = [FAULT_MS, HEALED_MS];
    if (fault === 'all restarted') this.#clock.setTimer(FAULT_MS, () => this.#restart(false));
    for (let atMs = 0; atMs < DURATION_MS;) {
      const demand = this.#options.demand[atMs < JUMP_MS ? 0 : 1] * RULE.ratePerSecond;
      atMs += -Math.log(1 - this.#random.next()) * (REQUEST_UNITS / demand) * 1000;
      const sentMs = atMs;
      const units = Math.round(REQUEST_UNITS * (0.3 + 1.4 * this.#random.next()));
      const node = Math.floor(this.#random.next() * this.#options.targets);
      this.#clock.setTimer(sentMs, () => void this.#send(node, units));
    }
    await this.#clock.runUntil(DURATION_MS + 1000);
    const perNodeSecond = nodes * (DURATION_MS / 1000);
    return {
      worstWindow: this.#worstWindow(),
      wronglyRefused: this.#wronglyRefused(),
      messagesPerNodeSecond: this.#messages / perNodeSecond,
      bytesPerNodeSecond: this.#bytes / perNodeSecond,
    };
  }

  async #send(node: number, units: number): Promise<void> {
    const atMs = this.#clock.now();
    if (this.#isDead(node)) return;
    const decision = await this.#gates[node]?.admit(SUBJECT, units);
    const admitted = decision?.kind === 'admitted';
    this.#decided.push({ atMs, units, admitted });
    if (admitted) this.#admitted.push({ atMs: this.#clock.now(), units });
  }

  #restart(isFirst: boolean): void {
    const { nodes, strategy } = this.#options;
    const ids = Array.from({ length: nodes }, (_, index) => index);
    this.#lenders = ids.map(() => undefined);
    this.#gates = ids.map((node) => {
      if (strategy === 'loans of a home') return this.#newBorrower(node);
      const shares: QuotaShares = new QuotaShares({
        clock: this.#clock,
        rules: () => RULE,
        initialBurstFraction: isFirst ? 1 : 0,
        share: (_, demand) => (strategy === 'even shares' ? 1 / nodes : this.#shareByDemand(node, demand)),
      });
      return shares;
    });
    if (strategy === 'shares by demand' && isFirst) void this.#gossipDemand();
  }

  // --- shares by demand --------------------------------------------------------------------------

  readonly #gossipedDemand = new Map<number, number>();

  async #gossipDemand(): Promise<void> {
    while (this.#clock.now() < DURATION_MS) {
      await this.#clock.sleep(GOSSIP_PERIOD_MS);
      for (const [node, gate] of this.#gates.entries()) {
        const demand = (gate as QuotaShares).demandOf(SUBJECT);
        if (demand < 1) continue;
        // A gossip record has to reach each node at least once.
        this.#count(this.#options.nodes, ENTRY_BYTES);
        this.#clock.setTimer(GOSSIP_DELAY_MS, () => this.#gossipedDemand.set(node, demand));
      }
    }
  }

  #shareByDemand(node: number, own: number): number {
    let total = own;
    for (const [other, demand] of this.#gossipedDemand) {
      if (other !== node && this.#reaches(node, other)) total += demand;
    }
    return total === 0 ? 1 / this.#options.nodes : own / total;
  }

  // --- loans of a home node ----------------------------------------------------------------------

  #newBorrower(node: number): QuotaBorrower {
    return new QuotaBorrower({
      clock: this.#clock,
      rules: () => RULE,
      defaultShare: () => 1 / this.#options.nodes,
      onFailure: rethrow,
      borrow: async (requests) => {
        const home = this.#homeAsSeenBy(node);
        this.#count(2, ENTRY_BYTES * requests.length);
        if (this.#isDead(home) || !this.#reaches(node, home)) {
          await this.#clock.sleep(CALL_TIMEOUT_MS);
          return undefined;
        }
        await this.#clock.sleep(DELAY_MS / 2);
        const loans = this.#lender(home).lend(String(node), requests);
        await this.#clock.sleep(DELAY_MS / 2);
        return loans;
      },
    });
  }

  #lender(home: number): QuotaLender {
    this.#lenders[home] ??= new QuotaLender({
      clock: this.#clock,
      rules: () => RULE,
      unreachableNodes: () => this.#unreachableFrom(home),
    });
    return this.#lenders[home];
  }

  /** The first node that membership considers reachable; a lost node is detected only after some time. */
  #homeAsSeenBy(node: number): number {
    const detectableMs = this.#clock.now() - DETECTION_MS;
    for (let home = 0; home < this.#options.nodes; home += 1) {
      const isDead = home === 0 && detectableMs >= this.#homeKilledMs;
      const isCut = detectableMs >= this.#cutFromMs && this.#clock.now() < this.#cutUntilMs;
      if (!isDead && !(isCut && this.#isCutSide(home) !== this.#isCutSide(node))) return home;
    }
    return node;
  }

  #unreachableFrom(home: number): ReadonlySet<string> {
    const detectableMs = this.#clock.now() - DETECTION_MS;
    if (detectableMs < this.#cutFromMs || this.#clock.now() >= this.#cutUntilMs) return new Set();
    const ids = this.#gates
      .map((_, node) => node)
      .filter((node) => this.#isCutSide(node) !== this.#isCutSide(home));
    return new Set(ids.map(String));
  }

  // --- faults and results ------------------------------------------------------------------------

  #isDead(node: number): boolean {
    return node === 0 && this.#clock.now() >= this.#homeKilledMs;
  }

  #isCutSide(node: number): boolean {
    return node % 3 === 2;
  }

  #reaches(one: number, other: number): boolean {
    const nowMs = this.#clock.now();
    const isCut = nowMs >= this.#cutFromMs && nowMs < this.#cutUntilMs;
    return !isCut || this.#isCutSide(one) === this.#isCutSide(other);
  }

  #count(messages: number, entryBytes: number): void {
    this.#messages += messages;
    this.#bytes += messages * (MESSAGE_BYTES + entryBytes);
  }

  #worstWindow(): number {
    const allowed = (RULE.ratePerSecond * WINDOW_MS) / 1000 + RULE.burst;
    let worst = 0;
    let first = 0;
    let sum = 0;
    for (const [index, request] of this.#admitted.entries()) {
      sum += request.units;
      while (request.atMs - (this.#admitted[first]?.atMs ?? 0) > WINDOW_MS) {
        sum -= this.#admitted[first]?.units ?? 0;
        first += 1;
      }
      if (index >= first) worst = Math.max(worst, sum / allowed);
    }
    return worst;
  }

  /**
   * Of the units that a single bucket for all requests would have admitted, the fraction that the fleet
   * refused. The bucket has the same rate and burst as the rule.
   */
  #wronglyRefused(): number {
    let level = RULE.burst;
    let atMs = 0;
    let admissible = 0;
    let refused = 0;
    for (const { atMs: requestedMs, units, admitted } of [...this.#decided].sort((a, b) => a.atMs - b.atMs)) {
      level = Math.min(RULE.burst, level + ((requestedMs - atMs) / 1000) * RULE.ratePerSecond);
      atMs = requestedMs;
      if (level < units) continue;
      level -= units;
      admissible += units;
      if (!admitted) refused += units;
    }
    return admissible === 0 ? 0 : refused / admissible;
  }
}

function rethrow(cause: unknown): never {
  throw cause;
}
