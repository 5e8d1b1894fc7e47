/** Nodes before one backend that names a limit, in virtual time. */
import { QuotaShares } from '@canvasridge/admission';
import { Random, VirtualClock, hashSeed } from '@canvasridge/clock';
import { Telemetry } from '@canvasridge/telemetry';
import { BackendRateLimits } from '../src/backends/backend-rate-limits.js';
import {
  BACKEND_RATES,
  FleetQuotas,
  RATE_BORROW_METHOD,
  readRateBorrow,
  type QuotaSight,
} from '../src/index.js';

export const BACKEND = 'i1';
export const WINDOW_MS = 4000;

/** How the nodes keep a limit: each by itself, each its part of it, or by units that a home lends, as built. */
export type Way = 'alone' | 'shares' | 'built';

interface Node {
  readonly id: string;
  readonly limits: BackendRateLimits;
  readonly rates: FleetQuotas;
  /** Nodes that it takes for serving, the home first. */
  ranking: readonly string[];
}

/** Requests that nodes would send to the backend, and those that they do send. */
export class LimitedFleet {
  readonly clock = new VirtualClock();
  readonly nodes = new Map<string, Node>();
  readonly sentMs: number[] = [];
  /** Nodes that answer no other. */
  readonly silent = new Set<string>();
  readonly #random: Random;
  readonly #way: Way;

  constructor(count: number, seed: number, way: Way = 'built') {
    this.#way = way;
    this.#random = new Random(hashSeed(`rate-limit-${seed}`));
    const ids = Array.from({ length: count }, (_, index) => `n${index}`);
    for (const id of ids) this.#addNode(id, ids);
  }

  /** All nodes hear of the limit. */
  name(perSecond: number): void {
    for (const { limits } of this.nodes.values()) limits.heard(BACKEND, perSecond, false);
  }

  /** Requests of all nodes for some seconds, so many a second over all of them. */
  async send(perSecond: number, seconds: number): Promise<void> {
    const untilMs = this.clock.now() + seconds * 1000;
    while (this.clock.now() < untilMs) {
      const gapMs = (-Math.log(1 - this.#random.next()) * 1000) / perSecond;
      await this.clock.runUntil(this.clock.now() + gapMs);
      const node = this.#random.pick([...this.nodes.values()]);
      void node?.limits.take(BACKEND).then((isTaken) => {
        if (isTaken) this.sentMs.push(this.clock.now());
      });
    }
  }

  /** The most requests in any span of the window's length. */
  get fullest(): number {
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
    const cluster: QuotaSight = {
      selfId: id,
      candidates: () => this.nodes.get(id)?.ranking ?? ranking,
      peerAddress: (peer) => peer,
      lostMembers: () => [],
    };
    const limits: BackendRateLimits = new BackendRateLimits({
      clock,
      admit: (backendId) => (this.#way === 'built' ? rates : shares).admit(backendId, 1),
    });
    const rates: FleetQuotas = new FleetQuotas({
      kind: BACKEND_RATES,
      clock,
      cluster,
      network: {
        to: (peer) => ({ call: (method, params, timeoutMs) => this.#call(peer, method, params, timeoutMs) }),
      },
      telemetry: new Telemetry({ processName: 'test', clock }),
      rules: (backendId) => limits.rule(backendId),
      subjectCount: () => 1,
      fleetShare: () => 1 / ranking.length,
    });
    const share = this.#way === 'alone' ? 1 : 1 / ranking.length;
    const shares = new QuotaShares({
      clock,
      rules: (backendId) => limits.rule(backendId),
      share: () => share,
      firstFill: 0,
    });
    this.nodes.set(id, { id, limits, rates, ranking });
  }

  async #call(peer: string, method: string, params: unknown, timeoutMs: number): Promise<unknown> {
    const isLost = this.silent.has(peer) || method !== RATE_BORROW_METHOD;
    await this.clock.sleep(isLost ? timeoutMs : 3);
    if (isLost) return undefined;
    // As it travels: what is undefined is left out.
    const read = readRateBorrow(JSON.parse(JSON.stringify(params)));
    return read === undefined ? null : this.nodes.get(peer)?.rates.answer(read);
  }
}

/** The most requests in a window's time. */
export function allowed(perSecond: number): number {
  return (1.5 * perSecond * WINDOW_MS) / 1000 + 5;
}
