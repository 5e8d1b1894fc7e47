import { ContinuousClock, Random, type Clock, type SuspendableClock } from '@canvasridge/clock';
import { FleetState, type BackendDescription, type ServingConfiguration } from '@canvasridge/serving';
import {
  DEFAULT_SLOT_TIMING,
  type EngineControl,
  type EngineOrder,
  type EngineReport,
  type NoticeListener,
  type OrderReply,
  type SlotRequest,
} from '@canvasridge/slots';
import { LEASE_MS, MODEL, PROFILE, SimulatedControl, SimulatedEngine } from '@canvasridge/slots/testing';
import { Telemetry } from '@canvasridge/telemetry';
import type { Cluster } from '../src/cluster/cluster.js';
import type { LeaderConnection } from '../src/cluster/remote-slots.js';
import { SlotService } from '../src/cluster/slot-service.js';
import { noRateLimits } from './no-rate-limits.js';
import { VirtualClusters } from './virtual-clusters.js';

const SERVICE = 'llm';
const ONE_WAY_MS = 1.4;
const REPORT_TIMEOUT_MS = 500;
const ORDER_TIMEOUT_MS = 600;
const ADAPTERS = 30;
const RUN_MS = 150;
const REQUEST_GAP_MS = 20;
/** Between two bursts of requests engines are idle for up to this long. */
const MAX_IDLE_MS = 7000;
const BURST_REQUESTS = 12;

export interface HolderFleetOptions {
  readonly nodes: number;
  readonly engines: number;
  /** Fraction of the datagrams between nodes that is lost, from 0 to 1. */
  readonly lossShare: number;
  readonly seed: number;
}

/** Directions that stay open when a node is cut off. */
export interface OpenDirections {
  readonly hears?: boolean;
  readonly speaks?: boolean;
}

interface HolderNode {
  readonly id: string;
  readonly cluster: Cluster;
  readonly slots: SlotService;
  readonly control: CutControl;
  /** Clock of the node's machine. */
  readonly clock: SuspendableClock;
}

/**
 * One node's calls to engines, which can be cut off. A suspended machine receives an answer when it resumes.
 */
class CutControl implements EngineControl {
  isCut = false;
  readonly #inner: EngineControl;
  readonly #clock: Clock;

  constructor(inner: EngineControl, clock: Clock) {
    this.#inner = inner;
    this.#clock = clock;
  }

  onNotice(listener: NoticeListener): void {
    this.#inner.onNotice(listener);
  }

  async report(backend: BackendDescription): Promise<EngineReport | undefined> {
    if (this.isCut) {
      await this.#clock.sleep(REPORT_TIMEOUT_MS);
      return undefined;
    }
    const report = await this.#inner.report(backend);
    await this.#clock.sleep(0);
    return report;
  }

  async order(
    backend: BackendDescription,
    order: EngineOrder,
    isAllowed: () => boolean,
  ): Promise<OrderReply> {
    if (this.isCut) {
      await this.#clock.sleep(ORDER_TIMEOUT_MS);
      return { kind: 'unknown', detail: 'no answer' };
    }
    const reply = await this.#inner.order(backend, order, isAllowed);
    await this.#clock.sleep(0);
    return reply;
  }
}

/** Nodes that elect leaders and give orders to simulated engines, all in virtual time. */
export class HolderFleet {
  readonly engines: readonly SimulatedEngine[];
  readonly nodes: readonly HolderNode[];
  readonly #clusters: VirtualClusters;
  readonly #random: Random;

  constructor({ nodes, engines, lossShare, seed }: HolderFleetOptions) {
    const ids = Array.from({ length: nodes }, (_, index) => `node-${index}`);
    this.#random = Random.derive(seed, 'requests');
    this.#clusters = new VirtualClusters(
      ids.map((id) => ({ id, capacity: 1, processToken: id })),
      ids.slice(0, 3),
      { oneWayMs: ONE_WAY_MS, lossShare, seed },
    );
    this.engines = Array.from(
      { length: engines },
      (_, index) => new SimulatedEngine(this.#clusters.clock, `engine-${index}`),
    );
    this.nodes = ids.map((id, index) => this.#startNode(id, index));
    for (const node of this.nodes) void this.#request(node);
  }

  get violations(): readonly string[] {
    return this.engines.flatMap(({ description, violations }) =>
      violations.map((violation) => `${description.id}: ${violation}`),
    );
  }

  /** Number of orders that any of the engines received. */
  get orders(): number {
    return this.engines.reduce((sum, { receivedOrders }) => sum + receivedOrders.length, 0);
  }

  /** The first node that considers itself the leader of a pool. */
  leader(): HolderNode | undefined {
    return this.nodes.find(({ slots, id }) => slots.leaders().has(id));
  }

  /** Cuts a node off from all others, except in the directions that stay open. */
  cutFromNodes(node: HolderNode, { hears = false, speaks = false }: OpenDirections): void {
    for (const { id } of this.nodes) {
      if (!speaks) this.#clusters.cuts.add(`${node.id}>${id}`);
      if (!hears) this.#clusters.cuts.add(`${id}>${node.id}`);
    }
  }

  heal(): void {
    this.#clusters.cuts.clear();
    for (const { control } of this.nodes) control.isCut = false;
  }

  async run(durationMs: number): Promise<void> {
    const { clock } = this.#clusters;
    await clock.runUntil(clock.now() + durationMs);
  }

  stop(): void {
    for (const { slots, cluster } of this.nodes) {
      slots.resign();
      slots.stop();
      cluster.stop();
    }
  }

  #startNode(id: string, index: number): HolderNode {
    const { clocks, clusters } = this.#clusters;
    const cluster = clusters.get(id);
    const clock = clocks.get(id);
    if (cluster === undefined || clock === undefined) throw new Error(`no cluster of ${id}`);
    const fleet = new FleetState();
    fleet.applyConfiguration(CONFIGURATION);
    for (const { description } of this.engines) fleet.applyBackend(1, { ...description, service: SERVICE });
    const control = new CutControl(new SimulatedControl(this.engines), clock);
    const slots = new SlotService({
      versionGrace: { requiredToGrant: () => 0 },
      clock,
      fleetClock: new ContinuousClock(clock),
      random: this.#random,
      fleet,
      cluster,
      network: { to: () => NO_CONNECTION, drop: () => undefined, receivedWithin: () => false },
      control,
      paths: { state: () => 'working' },
      fleetPaths: { reaching: (_, ids) => ids, isReachedByAnyBut: () => false, isCutOff: () => false },
      availability: { isBackingOff: () => false },
      rateLimits: noRateLimits(clock),
      rejectionLimits: { perSecond: () => undefined },
      timing: { ...DEFAULT_SLOT_TIMING, leaseMs: LEASE_MS },
      holder: { name: id, number: index + 1 },
      engineFences: { checked: false, settledAfterMs: LEASE_MS },
      switchedOff: new Set(),
      telemetry: new Telemetry({ processName: id, clock }),
    });
    slots.start();
    return { id, cluster, slots, control, clock };
  }

  /**
   * Sends requests from one node, in bursts with pauses between them; only while this node itself is a
   * leader.
   */
  async #request({ id, slots, clock }: HolderNode): Promise<void> {
    for (let count = 0; ; count += 1) {
      const isIdle = count % BURST_REQUESTS === 0;
      await clock.sleep(isIdle ? this.#random.next() * MAX_IDLE_MS : REQUEST_GAP_MS);
      if (!slots.leaders().has(id)) continue;
      const request = this.#newRequest(`${id}/${count}`);
      void slots.requester.acquire(SERVICE, request, new AbortController().signal).then(async (decision) => {
        if (decision?.kind !== 'granted') return;
        await clock.sleep(RUN_MS);
        slots.requester.started(SERVICE, request.id);
        slots.requester.release(SERVICE, request.id, 'served');
      });
    }
  }

  #newRequest(id: string): SlotRequest {
    return {
      id,
      traceId: id,
      model: MODEL,
      adapter: `a${this.#random.integer(ADAPTERS)}`,
      priority: 1,
      tenant: undefined,
      objectiveMs: 1000,
      ageMs: 0,
      timeoutMs: 5000,
      startWithinMs: 5000,
      excluded: [],
      promptTokens: 100,
      promptKey: undefined,
    };
  }
}

const NO_CONNECTION: LeaderConnection = {
  call: () => Promise.resolve(undefined),
  notify: () => undefined,
  received: 0,
  onClosed: () => () => undefined,
};

const CONFIGURATION: ServingConfiguration = {
  version: 1,
  routes: [],
  services: [{ name: SERVICE, maxConnections: 10, engine: PROFILE }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
  tenants: undefined,
};
