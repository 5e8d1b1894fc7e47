/** Nodes that send to one backend that announces a rate limit, in virtual time. */
import { QuotaShares } from '@canvasridge/admission';
import { Random, VirtualClock, hashSeed } from '@canvasridge/clock';
import { Telemetry } from '@canvasridge/telemetry';
import { BackendRateLimits } from '../src/backends/backend-rate-limits.js';
import {
  BACKEND_RATES,
  FleetQuotas,
  RATE_BORROW_METHOD,
  rateBorrowParams,
  type QuotaCluster,
} from '../src/index.js';
import { addressOf, idAt } from './peer-addresses.js';

export const BACKEND = 'i1';
export const WINDOW_MS = 4000;

/**
 * How the nodes apply a limit: each node the whole limit (`alone`), each node its share (`shares`), or by
 * units that a home lends, as implemented (`built`).
 */
export type LimitMode = 'alone' | 'shares' | 'built';

interface Node {
  readonly id: string;
  readonly limits: BackendRateLimits;
  readonly rates: FleetQuotas;
  /** Nodes that this node considers to be serving, the home first. */
  ranking: readonly string[];
}

/** Sends requests from the nodes to the backend, and records those that the limit lets through. */
export class LimitedFleet {
  readonly clock = new VirtualClock();
  readonly nodes = new Map<string, Node>();
  readonly sentMs: number[] = [];
  /** Nodes that do not answer other nodes. */
  readonly silent = new Set<string>();
  readonly #random: Random;
  readonly #mode: LimitMode;

  constructor(count: number, seed: number, mode: LimitMode = 'built') {
    this.#mode = mode;
    this.#random = new Random(hashSeed(`rate-limit-${seed}`));
    const ids = Array.from({ length: count }, (_, index) => `n${index}`);
    for (const id of ids) this.#addNode(id, ids);
  }

  /** Tells all nodes of the limit. */
  announceLimit(perSecond: number): void {
    for (const { limits } of this.nodes.values()) limits.recordNotice(BACKEND, perSecond, false);
  }

  /** Sends requests from random nodes for some seconds, at this total rate. */
  async send(perSecond: number, seconds: number): Promise<void> {
    const untilMs = this.clock.now() + seconds * 1000;
    while (this.clock.now() < untilMs) {
      const gapMs = (-Math.log(1 - this.#random.next()) * 1000) / perSecond;
      await this.clock.runUntil(this.clock.now() + gapMs);
      const node = this.#random.pick([...this.nodes.values()]);
      void node?.limits.takeUnit(BACKEND).then((isTaken) => {
        if (isTaken) this.sentMs.push(this.clock.now());
      });
    }
  }

  /** The largest number of requests in any time span of the window's length. */
  get fullestWindow(): number {
    let most = 0;
    let first = 0;
    for (const [index, atMs] of this.sentMs.entries()) {
      while ((this.sentMs[first] ?? atMs) <= atMs - WINDOW_MS) first += 1;
      most = Math.max(most, index - first + 1);
    }
    return most;
  }

  #addNode(id: string, ranking: readonly string[]): void {
    const { clock } = this;
    const cluster: QuotaCluster = {
      selfId: id,
      candidates: () => this.nodes.get(id)?.ranking ?? ranking,
      peerAddress: addressOf,
      lostMembers: () => [],
    };
    const limits: BackendRateLimits = new BackendRateLimits({
      clock,
      admit: (backendId) => (this.#mode === 'built' ? rates : shares).admit(backendId, 1),
    });
    const rates: FleetQuotas = new FleetQuotas({
      kind: BACKEND_RATES,
      clock,
      cluster,
      network: {
        to: (peer) => ({
          call: (method, params, timeoutMs) => this.#call(idAt(peer), method, params, timeoutMs),
        }),
      },
      telemetry: new Telemetry({ processName: 'test', clock }),
      rules: (backendId) => limits.rule(backendId),
      subjectCount: () => 1,
      fleetShare: () => 1 / ranking.length,
    });
    const share = this.#mode === 'alone' ? 1 : 1 / ranking.length;
    const shares = new QuotaShares({
      clock,
      rules: (backendId) => limits.rule(backendId),
      share: () => share,
      initialBurstFraction: 0,
    });
    this.nodes.set(id, { id, limits, rates, ranking });
  }

  async #call(peer: string, method: string, params: unknown, timeoutMs: number): Promise<unknown> {
    const isLost = this.silent.has(peer) || method !== RATE_BORROW_METHOD;
    await this.clock.sleep(isLost ? timeoutMs : 3);
    if (isLost) return undefined;
    // Encoded as on the wire, which omits undefined values.
    const read = rateBorrowParams.safeParse(JSON.parse(JSON.stringify(params))).data;
    return read === undefined ? null : this.nodes.get(peer)?.rates.answer(read);
  }
}

/** The largest number of requests allowed in one window. */
export function allowed(perSecond: number): number {
  return (1.5 * perSecond * WINDOW_MS) / 1000 + 5;
}
