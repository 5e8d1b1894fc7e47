import { ContinuousClock, Random, type Clock } from '@canvasridge/clock';
import {
  FleetState,
  type BackendDescription,
  type BackendService,
  type ServingConfiguration,
} from '@canvasridge/serving';
import {
  DEFAULT_SLOT_TIMING,
  type EngineControl,
  type EngineOrder,
  type EngineReport,
  type OrderReply,
} from '@canvasridge/slots';
import { LEASE_MS, PROFILE, SimulatedControl, SimulatedEngine } from '@canvasridge/slots/testing';
import { EventLogger, Telemetry } from '@canvasridge/telemetry';
import { BackendConnections } from '../src/backends/backend-connections.js';
import { Directory } from '../src/cluster/directory.js';
import type { PeerCaller } from '../src/cluster/peer-caller.js';
import type { LeaderConnection } from '../src/cluster/remote-slots.js';
import { SlotService } from '../src/cluster/slot-service.js';
import { GatewayMetrics } from '../src/gateway-metrics.js';
import { BackendAccess } from '../src/paths/backend-access.js';
import { noRateLimits } from './no-rate-limits.js';
import { VirtualClusters } from './virtual-clusters.js';
import { idAt } from './peer-addresses.js';

export const SERVICE = 'llm';
export const SERVICE_LIMITS: BackendService = { name: SERVICE, maxConnections: 10, engine: PROFILE };
const ONE_WAY_MS = 1;
const ANSWER_MS = 5;
const REPORT_TIMEOUT_MS = 500;
const ORDER_TIMEOUT_MS = 600;
const BUSY_GAP_MS = 40;
/** Nodes without requests get one now and then. */
const QUIET_GAP_MS = 3000;

/** A node with paths to engines, in virtual time. */
export interface PathNode {
  readonly id: string;
  readonly access: BackendAccess;
  readonly slots: SlotService;
  readonly directory: Directory;
  readonly lines: readonly string[];
  /** Questions that it sent to other nodes so far. */
  readonly asked: () => number;
}

export interface PathFleetOptions {
  readonly nodes: number;
  readonly engines: number;
  /** Nodes with many requests; the others have few. */
  readonly busy: number;
  readonly seed: number;
}

/** Nodes that elect leaders, send requests to engines and ask one another about their paths, in virtual time. */
export class PathFleet {
  readonly nodes: PathNode[] = [];
  /** Nodes whose links to all engines are cut: what is sent is lost without a reset. */
  readonly cutOff = new Set<string>();
  /** Probes of engines and questions to other nodes so far. */
  readonly sent = { probes: 0, questions: 0 };
  readonly #engines: readonly SimulatedEngine[];
  readonly #clusters: VirtualClusters;
  readonly #random: Random;
  /** When the engines go on; they answer what reached them meanwhile. */
  #silentUntilMs = 0;
  #stopped = false;

  constructor({ nodes, engines, busy, seed }: PathFleetOptions) {
    const ids = Array.from({ length: nodes }, (_, index) => `node-${index}`);
    this.#random = Random.derive(seed, 'requests');
    this.#clusters = new VirtualClusters(
      ids.map((id) => ({ id, capacity: 1, processToken: id })),
      ids.slice(0, 3),
      { oneWayMs: ONE_WAY_MS, lossShare: 0, seed },
    );
    this.#engines = Array.from(
      { length: engines },
      (_, index) => new SimulatedEngine(this.clock, `engine-${index}`),
    );
    for (const [index, id] of ids.entries()) {
      const node = this.#startNode(id, index);
      this.nodes.push(node);
      void this.#sendRequests(node, index < busy ? BUSY_GAP_MS : QUIET_GAP_MS);
    }
  }

  get clock(): Clock {
    return this.#clusters.clock;
  }

  /** One of the engines, as nodes list it. */
  get engine(): BackendDescription {
    const [first] = this.#engines;
    if (first === undefined) throw new Error('no engine');
    return { ...first.description, service: SERVICE };
  }

  /** The node that all consider the leader of the pool; undefined while they differ. */
  leader(): PathNode | undefined {
    const leaders = new Set(this.nodes.flatMap(({ slots }) => [...slots.leaders()]));
    return leaders.size === 1 ? this.nodes.find(({ id }) => leaders.has(id)) : undefined;
  }

  /** Log lines of an event, of all nodes. */
  events(name: string): string[] {
    return this.nodes.flatMap(({ lines }) => lines.filter((line) => line.includes(`event=${name} `)));
  }

  /** All engines accept connections and answer nothing for this long. */
  silenceEngines(durationMs: number): void {
    this.#silentUntilMs = this.clock.now() + durationMs;
  }

  async run(durationMs: number): Promise<void> {
    await this.#clusters.clock.runUntil(this.clock.now() + durationMs);
  }

  stop(): void {
    this.#stopped = true;
    for (const { slots, access, id } of this.nodes) {
      slots.resign();
      slots.stop();
      access.stop();
      this.#clusters.clusters.get(id)?.stop();
    }
  }

  /** Resolves to whether an engine answers a node in time. */
  async #answers(nodeId: string, timeoutMs: number): Promise<boolean> {
    const silentMs = Math.max(0, this.#silentUntilMs - this.clock.now());
    if (silentMs + ANSWER_MS > timeoutMs || this.cutOff.has(nodeId)) {
      await this.clock.sleep(timeoutMs);
      return false;
    }
    await this.clock.sleep(silentMs + ANSWER_MS);
    return !this.cutOff.has(nodeId);
  }

  #startNode(id: string, index: number): PathNode {
    const cluster = this.#clusters.clusters.get(id);
    const clock = this.#clusters.clocks.get(id);
    if (cluster === undefined || clock === undefined) throw new Error(`no cluster of ${id}`);
    const lines: string[] = [];
    const logger = new EventLogger(id, 'info', (line) => lines.push(line));
    const telemetry = new Telemetry({ processName: id, clock, logger });
    const fleet = new FleetState();
    fleet.applyConfiguration(CONFIGURATION);
    for (const { description } of this.#engines) fleet.applyBackend(1, { ...description, service: SERVICE });
    const shared = {
      clock,
      fleetClock: new ContinuousClock(clock),
      random: this.#random,
      fleet,
      cluster,
      telemetry,
    };
    let asked = 0;
    const access = new BackendAccess({
      ...shared,
      network: this.#network(() => (asked += 1)),
      connections: new BackendConnections(),
      control: this.#control(id),
      probe: {
        answers: (_, timeoutMs) => {
          this.sent.probes += 1;
          return this.#answers(id, timeoutMs);
        },
      },
      fleetShare: () => 1,
      isStopping: () => false,
      metrics: new GatewayMetrics(),
    });
    access.start();
    const slots = new SlotService({
      versionGrace: { requiredToGrant: () => 0 },
      ...shared,
      paths: access.paths,
      fleetPaths: access.fleetPaths,
      control: access.control,
      network: { to: () => NO_CONNECTION, drop: () => undefined, receivedWithin: () => false },
      availability: { isBackingOff: () => false },
      rateLimits: noRateLimits(clock),
      rejectionLimits: { perSecond: () => undefined },
      timing: { ...DEFAULT_SLOT_TIMING, leaseMs: LEASE_MS },
      holder: { name: id, number: index + 1 },
      engineFences: { checked: false, settledAfterMs: LEASE_MS },
      switchedOff: new Set(),
    });
    slots.start();
    const directory = new Directory(cluster, () => slots.leaders(), access.fleetPaths);
    return { id, access, slots, directory, lines, asked: () => asked };
  }

  /** Calls between nodes: only the question whether a node reaches a service. */
  #network(onAsk: () => void): PeerCaller {
    return {
      to: (address) => ({
        call: async (_, params, timeoutMs) => {
          this.sent.questions += 1;
          onAsk();
          const node = this.nodes.find(({ id }) => id === idAt(address));
          await this.clock.sleep(ONE_WAY_MS);
          const answer = await Promise.race([
            node?.access.answerReaches(params),
            this.clock.sleep(timeoutMs).then(() => undefined),
          ]);
          await this.clock.sleep(ONE_WAY_MS);
          return answer;
        },
      }),
    };
  }

  #control(nodeId: string): EngineControl {
    const inner = new SimulatedControl(this.#engines);
    return {
      onNotice: () => undefined,
      report: async (backend: BackendDescription): Promise<EngineReport | undefined> =>
        (await this.#answers(nodeId, REPORT_TIMEOUT_MS)) ? inner.report(backend) : undefined,
      order: async (backend: BackendDescription, order: EngineOrder): Promise<OrderReply> =>
        (await this.#answers(nodeId, ORDER_TIMEOUT_MS))
          ? inner.order(backend, order)
          : { kind: 'unknown', detail: 'no answer' },
    };
  }

  /** Records what requests show of the paths, until the fleet stops. */
  async #sendRequests({ id, access }: PathNode, gapMs: number): Promise<void> {
    while (!this.#stopped) {
      await this.clock.sleep(gapMs * (0.5 + this.#random.next()));
      access.paths.beginWait(SERVICE);
      void this.#answers(id, REQUEST_TIMEOUT_MS).then((isAnswered) => {
        if (isAnswered) access.paths.received(SERVICE);
        access.paths.endWait(SERVICE);
      });
    }
  }
}

const REQUEST_TIMEOUT_MS = 5000;

const NO_CONNECTION: LeaderConnection = {
  call: () => Promise.resolve(undefined),
  notify: () => undefined,
  received: 0,
  onClosed: () => () => undefined,
};

const CONFIGURATION: ServingConfiguration = {
  version: 1,
  routes: [],
  services: [SERVICE_LIMITS],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
  tenants: undefined,
};
