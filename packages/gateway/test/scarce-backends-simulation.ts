import { socketAddress } from '@canvasridge/addresses';
import { Random, VirtualClock } from '@canvasridge/clock';
import { FleetState, type BackendDescription, type ServingConfiguration } from '@canvasridge/serving';
import type { UseOutcome } from '@canvasridge/slots';
import { BackendAvailability } from '../src/backends/backend-availability.js';
import { BackendBackoffs } from '../src/backends/backend-backoffs.js';
import { GrantedBackendPicker } from '../src/backends/granted-backend-picker.js';
import { LeastLoadedPicker } from '../src/backends/least-loaded-picker.js';
import type { BackendPicker, PickContext } from '../src/backends/picker.js';
import type { Cluster } from '../src/cluster/cluster.js';
import type { PoolEntry } from '../src/cluster/pool-entry.js';
import { USES_METHOD, type UsesParams } from '../src/cluster/slot-protocol.js';
import { SlotRequester } from '../src/cluster/slot-requester.js';
import { noRateLimits } from './no-rate-limits.js';
import { HOP_MS, SERVICE, SimulatedLeader, SimulatedLink } from './simulated-leader.js';
import { addressOf } from './peer-addresses.js';

export const OBJECTIVE_MS = 389;
const TIMEOUT_MS = 2000;
const DEADLINE_MS = 4000;
const CLIENT_TRIES = 2;
const SENDS = 2;
const SLOTS = 6;
const OWN_QUEUE = 4;
const SERVICE_MS = 86;
const SLOW_FACTOR = 2.5;
const SLOW_SHARE = 0.15;
const SLOW_PERIOD_MS = 600;
const SWING = 0.55;
const SWING_PERIOD_MS = 12_000;
const SAMPLE_MS = 5;
const CLIENT_PAUSE_MS = 50;

/** How nodes choose backends: each by its own requests, or by grants of a leader. */
export type Way = 'own' | 'granted';

export interface Load {
  readonly nodes: number;
  readonly seconds: number;
  readonly perSecond: number;
  /** Times in which requests arrive three times as often, in ms. */
  readonly surge: { readonly fromMs: number; readonly toMs: number } | undefined;
}

export interface Figures {
  arrivals: number;
  served: number;
  inTime: number;
  refused: number;
  /** Sends that a backend turned away. */
  turnedAway: number;
  /** Samples in which a request waited at the leader while a slot was not granted, other than of a backend marked full. */
  idleSamples: number;
  /** By how the backend was chosen. */
  readonly sends: Record<string, number>;
  readonly servedByKind: Record<string, { arrivals: number; served: number }>;
}

/** A backend with slots, a short queue behind them, and times in which it is slow. */
class SimulatedBackend {
  readonly waiting: (() => void)[] = [];
  running = 0;
  factor = 1;

  constructor(
    readonly id: string,
    readonly clock: VirtualClock,
    readonly random: Random,
  ) {
    void this.#changeSpeed();
  }

  async serve(): Promise<'served' | 'refused'> {
    if (this.running === SLOTS) {
      if (this.waiting.length === OWN_QUEUE) return 'refused';
      await new Promise<void>((resolve) => this.waiting.push(resolve));
    }
    this.running += 1;
    await this.clock.sleep(SERVICE_MS * this.factor * (0.6 + 0.8 * this.random.next()));
    this.running -= 1;
    this.waiting.shift()?.();
    return 'served';
  }

  async #changeSpeed(): Promise<void> {
    for (;;) {
      this.factor = this.random.next() < SLOW_SHARE ? SLOW_FACTOR : 1;
      await this.clock.sleep(SLOW_PERIOD_MS);
    }
  }
}

/** A node that accepts requests and asks a leader for slots. */
export class SimulatedNode {
  leader: SimulatedLeader | undefined;
  readonly picker: BackendPicker;
  readonly requester: SlotRequester;
  readonly links = new Map<SimulatedLeader, SimulatedLink>();
  readonly #clock: VirtualClock;

  constructor(clock: VirtualClock, fleet: FleetState, way: Way, nodeCount: number, seed: number) {
    this.#clock = clock;
    const rateLimits = noRateLimits(clock);
    const backoffs = new BackendBackoffs(clock);
    const hasOtherServingNodes = (): boolean => true;
    const availability = new BackendAvailability({
      fleet,
      backoffs,
      rateLimits,
      clock,
      hasOtherServingNodes,
    });
    const current = (): SimulatedLeader | undefined => this.leader;
    const leadership = {
      get leader(): string | undefined {
        return current() === undefined ? undefined : 'leader';
      },
    };
    const entry = { leadership, leading: false, pool: undefined } as unknown as PoolEntry;
    this.requester = new SlotRequester({
      clock,
      fleet,
      cluster: {
        nodeCount,
        peerAddress: () => addressOf('leader'),
        checkPeer: () => undefined,
      } as unknown as Cluster,
      network: { to: () => this.link(), drop: () => undefined },
      rateLimits,
      rejectionLimits: { perSecond: () => undefined },
      switchedOff: new Set(way === 'own' ? (['granted-backends'] as const) : []),
      pools: new Map([[SERVICE, entry]]),
      entry: () => entry,
    });
    const own = new LeastLoadedPicker(fleet, availability, clock, new Random(seed));
    this.picker = new GrantedBackendPicker(fleet, availability, this.requester, own, clock, 'a');
  }

  link(): SimulatedLink {
    const { leader } = this;
    if (leader === undefined) throw new Error('no leader is known');
    let link = this.links.get(leader);
    if (link === undefined) {
      link = new SimulatedLink(this.#clock, leader, (decision) => this.requester.onDecided(decision));
      this.links.set(leader, link);
    }
    return link;
  }

  /** Follows another leader, which it tells what it runs. */
  follow(leader: SimulatedLeader | undefined, member: string): void {
    this.leader = leader;
    this.requester.handleLeaderChange(SERVICE, undefined);
    if (leader === undefined) return;
    const params: UsesParams = { pool: SERVICE, member, uses: this.requester.usesOf(SERVICE) };
    this.link().notify(USES_METHOD, params);
  }
}

/** A fleet in front of three backends with six slots each, and clients that try twice. */
export class Simulation {
  readonly clock = new VirtualClock();
  readonly fleet = new FleetState();
  readonly nodes: SimulatedNode[];
  readonly backends: SimulatedBackend[];
  readonly figures: Figures = {
    arrivals: 0,
    served: 0,
    inTime: 0,
    refused: 0,
    turnedAway: 0,
    idleSamples: 0,
    sends: {},
    servedByKind: {},
  };
  leader: SimulatedLeader;
  readonly #random: Random;
  #nextId = 0;

  constructor(
    way: Way,
    readonly load: Load,
    seed: number,
  ) {
    const { clock, fleet } = this;
    this.#random = Random.derive(seed, 'choices');
    fleet.applyConfiguration(CONFIGURATION);
    for (const id of ['b0', 'b1', 'b2']) fleet.applyBackend(1, describeBackend(id));
    this.backends = ['b0', 'b1', 'b2'].map(
      (id) => new SimulatedBackend(id, clock, Random.derive(seed, `backend ${id}`)),
    );
    this.leader = new SimulatedLeader(clock, fleet);
    this.nodes = Array.from(
      { length: load.nodes },
      (_, index) => new SimulatedNode(clock, fleet, way, SLOTS * 3 + 1, seed * load.nodes + index),
    );
    for (const node of this.nodes) node.leader = this.leader;
    void this.#clients(Random.derive(seed, 'arrivals'));
    void this.#sample();
  }

  /** Runs the load and lets all requests end. */
  async run(untilMs = this.load.seconds * 1000 + DEADLINE_MS + TIMEOUT_MS): Promise<Figures> {
    await this.clock.runUntil(untilMs);
    return this.figures;
  }

  /** Makes another node the leader, which all nodes that are named learn at once. */
  handOver(nodes: readonly SimulatedNode[] = this.nodes): SimulatedLeader {
    this.leader = new SimulatedLeader(this.clock, this.fleet);
    nodes.forEach((node, index) => node.follow(this.leader, `n${index}`));
    return this.leader;
  }

  async #clients(random: Random): Promise<void> {
    const { perSecond, seconds, surge } = this.load;
    for (;;) {
      const nowMs = this.clock.now();
      const swing = 1 + SWING * Math.sin((2 * Math.PI * nowMs) / SWING_PERIOD_MS);
      const isSurge = surge !== undefined && nowMs >= surge.fromMs && nowMs < surge.toMs;
      await this.clock.sleep(random.exponential(1000 / (perSecond * swing * (isSurge ? 3 : 1))));
      if (this.clock.now() >= seconds * 1000) return;
      const priority = random.next() < 0.2 ? 2 : 0;
      const tenant = random.next() < 0.7 ? 'large' : 'small';
      void this.#request(priority, tenant);
    }
  }

  async #request(priority: number, tenant: string): Promise<void> {
    const { figures, clock } = this;
    const sentMs = clock.now();
    const kinds = [`priority ${priority}`, tenant].map(
      (kind) => (figures.servedByKind[kind] ??= { arrivals: 0, served: 0 }),
    );
    figures.arrivals += 1;
    for (const kind of kinds) kind.arrivals += 1;
    for (let tries = 1; tries <= CLIENT_TRIES; tries += 1) {
      const node = this.#random.pick(this.nodes) as SimulatedNode;
      const retryAfterMs = await this.#gateway(node, priority, tenant);
      const ageMs = clock.now() - sentMs;
      if (retryAfterMs === undefined && ageMs <= DEADLINE_MS) {
        figures.served += 1;
        if (ageMs <= OBJECTIVE_MS) figures.inTime += 1;
        for (const kind of kinds) kind.served += 1;
        return;
      }
      const pauseMs = Math.max(retryAfterMs ?? 0, CLIENT_PAUSE_MS);
      if (ageMs + pauseMs > DEADLINE_MS) break;
      if (tries < CLIENT_TRIES) await clock.sleep(pauseMs);
    }
    figures.refused += 1;
  }

  /** Serves a request through one node; resolves with the time after which to try again if it was refused. */
  async #gateway(node: SimulatedNode, priority: number, tenant: string): Promise<number | undefined> {
    const arrivedMs = this.clock.now();
    const excluded: string[] = [];
    for (let sends = 1; ; sends += 1) {
      const ageMs = this.clock.now() - arrivedMs;
      const context = newContext(`r${(this.#nextId += 1)}`, { priority, tenant, ageMs, excluded });
      const picked = await node.picker.pick(context, new AbortController().signal);
      if (picked.kind === 'none') return picked.retryAfterMs ?? 0;
      this.figures.sends[picked.how] = (this.figures.sends[picked.how] ?? 0) + 1;
      await this.clock.sleep(HOP_MS);
      const outcome: UseOutcome = await this.#backend(picked.backend.id).serve();
      await this.clock.sleep(HOP_MS);
      picked.finish(outcome);
      if (outcome === 'served') return undefined;
      this.figures.turnedAway += 1;
      excluded.push(picked.backend.id);
      if (sends === SENDS) return 0;
    }
  }

  #backend(id: string): SimulatedBackend {
    return this.backends.find((backend) => backend.id === id) as SimulatedBackend;
  }

  async #sample(): Promise<void> {
    for (;;) {
      const { waiting, running, slots, markedFull } = this.leader.pool.describe();
      if (waiting > 0 && running < slots && markedFull === 0) this.figures.idleSamples += 1;
      await this.clock.sleep(SAMPLE_MS);
    }
  }
}

function describeBackend(id: string): BackendDescription {
  return {
    id,
    service: SERVICE,
    address: socketAddress('10.0.0.1:1'),
    zone: 'a',
    state: 'ready',
    slots: SLOTS,
    models: [],
  };
}

export function newContext(id: string, changes: Partial<PickContext> = {}): PickContext {
  return {
    id,
    traceId: id,
    route: {
      name: 'r',
      host: 'h',
      pathPrefix: '/',
      kind: 'request',
      services: [],
      timeoutMs: TIMEOUT_MS,
      patienceMs: DEADLINE_MS,
      objectiveMs: OBJECTIVE_MS,
      priority: 0,
      attempts: SENDS,
      resumable: false,
      isPublic: false,
    } as unknown as PickContext['route'],
    service: { name: SERVICE, maxConnections: 100, engine: undefined },
    tenant: undefined,
    priority: 0,
    generation: undefined,
    ageMs: 0,
    timeoutMs: TIMEOUT_MS,
    startWithinMs: DEADLINE_MS,
    excluded: [],
    ...changes,
  };
}

const CONFIGURATION: ServingConfiguration = {
  version: 1,
  routes: [],
  services: [{ name: SERVICE, maxConnections: 100, engine: undefined }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
  tenants: undefined,
};
