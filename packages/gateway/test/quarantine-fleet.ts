import { Random } from '@canvasridge/clock';
import { Telemetry } from '@canvasridge/telemetry';
import {
  COMPLETED_METHOD,
  ENDED_WELL_METHOD,
  FleetQuarantine,
  INTERRUPTED_METHOD,
  TRIAL_METHOD,
  type EndedWellParams,
  type InterruptedParams,
  type TrialParams,
} from '../src/cluster/fleet-quarantine.js';
import { PART_CRASHES_METHOD, PART_RUNS_METHOD } from '../src/cluster/part-crash-protocol.js';
import { VirtualClusters, type VirtualNode } from './virtual-clusters.js';
import { idAt } from './peer-addresses.js';

const ONE_WAY_MS = 2;
const UPDATE_INTERVAL_MS = 1000;
const SEED_COUNT = 3;

interface FleetNode {
  quarantine: FleetQuarantine;
  isRunning: boolean;
  /** Methods that this node's build does not know. */
  readonly unknownMethods: Set<string>;
  /** Time for which its machine was suspended, as it reports it. */
  suspendedMs: number;
}

/** The quarantines of a fleet's nodes, on one simulated network in virtual time. */
export class QuarantineFleet {
  readonly clusters: VirtualClusters;
  readonly #members: readonly VirtualNode[];
  readonly #nodes = new Map<string, FleetNode>();
  /** Calls between nodes, by method. */
  readonly calls = new Map<string, number>();

  readonly #seed: number;

  constructor(count: number, seed: number, lossShare = 0) {
    this.#seed = seed;
    this.#members = Array.from({ length: count }, (_, index) => ({
      id: `n${index}`,
      capacity: index < 6 ? 2 : 1,
      processToken: `p${index}`,
    }));
    this.clusters = new VirtualClusters(this.#members, this.#seeds, {
      oneWayMs: ONE_WAY_MS,
      lossShare,
      seed,
    });
    this.clusters.onQuarantine = (id) => this.#nodes.get(id)?.quarantine.update();
    for (const { id } of this.#members) this.#start(id);
  }

  get ids(): readonly string[] {
    return this.#members.map(({ id }) => id);
  }

  node(id: string): FleetQuarantine {
    const node = this.#nodes.get(id);
    if (node === undefined) throw new Error(`no node ${id}`);
    return node.quarantine;
  }

  /** Lets a node answer as one of a build without the given methods. */
  forgetMethods(id: string, methods: readonly string[]): void {
    for (const method of methods) this.#nodes.get(id)?.unknownMethods.add(method);
  }

  /** Lets a node notice that its machine was suspended until now. */
  noticeSuspension(id: string): void {
    const node = this.#nodes.get(id);
    if (node !== undefined) node.suspendedMs += 10_000;
  }

  run(durationMs: number): Promise<void> {
    const { clock } = this.clusters;
    return clock.runUntil(clock.now() + durationMs);
  }

  isRunning(id: string): boolean {
    return this.#nodes.get(id)?.isRunning === true;
  }

  /** Drops all messages between a node and the others; returns a function that ends this. */
  cutOff(id: string): () => void {
    const { cuts } = this.clusters;
    const links = this.ids.flatMap((other) => (other === id ? [] : [`${id}>${other}`, `${other}>${id}`]));
    for (const link of links) cuts.add(link);
    return () => {
      for (const link of links) cuts.delete(link);
    };
  }

  stop(id: string): void {
    const node = this.#nodes.get(id);
    if (node !== undefined) node.isRunning = false;
    this.clusters.clusters.get(id)?.stop();
  }

  /** Kills a node's process and starts another one on its machine. */
  restart(id: string): void {
    this.stop(id);
    const member = this.#members.find((known) => known.id === id);
    if (member === undefined) return;
    this.clusters.restart({ ...member, processToken: `${id} at ${this.clusters.clock.now()}` }, this.#seeds);
    this.#start(id);
  }

  /** Ids of running nodes that keep the request from backends. */
  quarantinedAt(fingerprint: string): string[] {
    return [...this.#nodes]
      .filter(
        ([, { isRunning, quarantine }]) => isRunning && quarantine.remainingMs(fingerprint) !== undefined,
      )
      .map(([id]) => id);
  }

  homes(): readonly string[] {
    const running = [...this.#nodes].find(([, { isRunning }]) => isRunning)?.[0] ?? '';
    return this.clusters.clusters.get(running)?.candidates('quarantine').slice(0, 3) ?? [];
  }

  get #seeds(): readonly string[] {
    return this.#members.slice(0, SEED_COUNT).map(({ id }) => id);
  }

  #start(id: string): void {
    const cluster = this.clusters.clusters.get(id);
    if (cluster === undefined) return;
    const { clock } = this.clusters;
    const quarantine = new FleetQuarantine({
      clock,
      random: Random.derive(this.#seed, id),
      cluster,
      network: {
        to: (address) => ({
          call: (method, params, timeoutMs) => this.#call(id, idAt(address), method, params, timeoutMs),
        }),
      },
      telemetry: new Telemetry({ processName: id, clock }),
      suspendedMs: () => node.suspendedMs,
    });
    const node: FleetNode = { quarantine, isRunning: true, unknownMethods: new Set(), suspendedMs: 0 };
    this.#nodes.set(id, node);
    void this.#update(node);
  }

  async #update(node: FleetNode): Promise<void> {
    while (node.isRunning) {
      node.quarantine.update();
      await this.clusters.clock.sleep(UPDATE_INTERVAL_MS);
    }
  }

  async #call(
    from: string,
    to: string,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    const { clock, cuts } = this.clusters;
    this.calls.set(method, (this.calls.get(method) ?? 0) + 1);
    const peer = this.#nodes.get(to);
    const isReached = peer?.isRunning === true && !cuts.has(`${from}>${to}`) && !cuts.has(`${to}>${from}`);
    if (!isReached) {
      await clock.sleep(timeoutMs);
      return undefined;
    }
    await clock.sleep(ONE_WAY_MS);
    const answer = peer.unknownMethods.has(method) ? undefined : answerCall(peer.quarantine, method, params);
    await clock.sleep(ONE_WAY_MS);
    return answer;
  }
}

function answerCall(quarantine: FleetQuarantine, method: string, params: unknown): unknown {
  switch (method) {
    case INTERRUPTED_METHOD:
      return quarantine.answer(params as InterruptedParams);
    case COMPLETED_METHOD:
    case ENDED_WELL_METHOD:
      return quarantine.answerEndedWell(params as EndedWellParams);
    case PART_CRASHES_METHOD:
      return quarantine.parts.answerCrashes(params);
    case PART_RUNS_METHOD:
      return quarantine.parts.answerRuns(params);
    case TRIAL_METHOD:
      return quarantine.answerTrial(params as TrialParams);
    default:
      return undefined;
  }
}
