import { Random, VirtualClock } from '@canvasridge/clock';
import { buildPublication, type RevisionHead, type RevisionStore } from '@canvasridge/configuration';
import type { Configuration, EngineClient, EngineDefinition } from '@canvasridge/domain';
import type { MemberIdentity, MembershipTiming, PeerCaller } from '@canvasridge/membership';
import { EntryNode, type NodePorts } from '@canvasridge/node';
import { DEFAULT_OWNERSHIP_TIMING, type OwnershipTiming } from '@canvasridge/ownership';
import {
  DEFAULT_ENGINE_BEHAVIOUR,
  Standin,
  standinSettingsSchema,
  type EngineBehaviour,
} from '@canvasridge/standin';
import { Telemetry } from '@canvasridge/telemetry';
import { SimulatedNetwork, type Host, type NetworkBehaviour } from './network.js';
import {
  SimulatedForwardClient,
  SimulatedPeerCaller,
  SimulatedTransport,
  TrafficMeter,
  type NodePeer,
  type PeerLookup,
} from './peer-ports.js';
import { SimulatedEngineClient, type EngineLinkFaults } from './engine-ports.js';
import {
  SimulatedConfigurationSource,
  SimulatedMachineList,
  SimulatedServiceClient,
} from './platform-ports.js';

/** Identity and location of a node. */
export interface NodeSpec {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
}

/** Overrides of the ports and timing of every node, used to disable a safeguard. */
export interface PortOverrides {
  readonly peers?: (caller: PeerCaller) => PeerCaller;
  readonly engine?: (client: EngineClient) => EngineClient;
  readonly machines?: (machines: NodePorts['machines']) => NodePorts['machines'];
  readonly ownershipTiming?: Partial<OwnershipTiming>;
  readonly revisionStore?: () => RevisionStore;
  /** False: no emulated engine checks fences, whatever the configuration says. */
  readonly enginesCheckFences?: boolean;
}

export interface FleetOptions {
  readonly seed: number;
  readonly nodes: readonly NodeSpec[];
  readonly configuration: Configuration;
  readonly network: NetworkBehaviour;
  readonly weightStore: {
    readonly loadsPerSecond: number;
    readonly concurrency: number;
    readonly loadMs: number;
  };
  readonly engineBehaviour?: Partial<EngineBehaviour>;
  readonly membershipTiming?: MembershipTiming;
  readonly overrides?: PortOverrides;
  /** Maximum difference of a node's clock rate from virtual time, as a fraction. */
  readonly maxClockDrift?: number;
  readonly timelineCapacity?: number;
}

/** A simulated node process. A restart of the node creates a new one. */
export interface SimulatedProcess extends NodePeer {
  readonly spec: NodeSpec;
  readonly transport: SimulatedTransport;
  readonly meter: TrafficMeter;
  readonly telemetry: Telemetry;
}

const PLATFORM = 'platform';
const PEER_KEY = 'simulated-peer-key';

/**
 * Simulates a whole deployment in one process and in virtual time: the production code of the nodes, bound to
 * a simulated network and to the emulators. The same seed gives the same run.
 */
export class SimulatedFleet {
  readonly clock = new VirtualClock();
  readonly random: Random;
  readonly network: SimulatedNetwork;
  readonly standin: Standin;
  readonly engineFaults: EngineLinkFaults = { lateOrderFraction: 0, maxDelayMs: 0 };
  readonly #options: FleetOptions;
  readonly #processes = new Map<string, SimulatedProcess>();
  readonly #engineHosts = new Map<string, Host>();
  readonly #platform: Host;
  readonly #lookup: PeerLookup;
  readonly #endedTelemetries: Telemetry[] = [];
  #starts = 0;
  #publications = 0;

  constructor(options: FleetOptions) {
    this.#options = options;
    this.random = Random.derive(options.seed, 'fleet');
    this.network = new SimulatedNetwork(this.clock, Random.derive(options.seed, 'network'), {
      ...options.network,
    });
    this.standin = this.#newStandin();
    this.#platform = this.network.createHost(PLATFORM);
    for (const engine of options.configuration.engines) {
      this.#engineHosts.set(engine.id, this.network.createHost(engine.id));
    }
    this.#lookup = {
      findByPeerUrl: (url) => this.#processes.get(url.slice('http://peer-'.length)),
      findByGossipAddress: (address) => {
        const process = this.#processes.get(address.slice('gossip-'.length));
        if (process === undefined) return undefined;
        const { host, transport } = process;
        return { host, receive: (from, bytes) => transport.receive(from, bytes) };
      },
    };
  }

  get nodes(): readonly NodeSpec[] {
    return this.#options.nodes;
  }

  /** The running process of a node, if there is one. */
  process(id: string): SimulatedProcess | undefined {
    return this.#processes.get(id);
  }

  processes(): readonly SimulatedProcess[] {
    return [...this.#processes.values()];
  }

  /** Telemetry of all processes, including ended ones and the emulator. */
  telemetries(): readonly Telemetry[] {
    return [
      ...this.#endedTelemetries,
      ...this.processes().map((process) => process.telemetry),
      this.standin.telemetry,
    ];
  }

  callerUrls(): string[] {
    return [...this.#processes.keys()].map((id) => callerUrl(id));
  }

  processAtCallerUrl(url: string): SimulatedProcess | undefined {
    return this.#processes.get(url.slice('http://caller-'.length));
  }

  engineHost(engineId: string): Host | undefined {
    return this.#engineHosts.get(engineId);
  }

  start(): void {
    this.publish(this.#options.configuration);
    for (const spec of this.#options.nodes) {
      this.standin.machines.set(
        { id: spec.id, role: 'entry', state: 'live', gossip: gossipAddress(spec.id) },
        true,
      );
    }
    for (const spec of this.#options.nodes) this.startNode(spec);
  }

  /**
   * Publishes a configuration as an operator does: planned against the revision in force (`base`), and
   * confirmed against the version at the configuration service. An older `confirmedAt` emulates an operator
   * who was too slow.
   */
  publish(
    configuration: Configuration,
    base = this.headInForce(),
    confirmedAt = this.#publications,
  ): RevisionHead {
    const previous = base ?? { revision: 0, digest: '0'.repeat(64) };
    const { head, documents } = buildPublication(configuration, previous, confirmedAt);
    for (const document of documents) this.standin.configuration.publish(document.key, document.value);
    this.#publications += 1;
    return head;
  }

  /** Number of times that a head was published. */
  get publications(): number {
    return this.#publications;
  }

  /** The highest revision in force on any node. */
  headInForce(): RevisionHead | undefined {
    const heads = this.processes().flatMap((process) => process.node.follower.store.head ?? []);
    return heads.sort((a, b) => b.revision - a.revision)[0];
  }

  startNode(spec: NodeSpec): SimulatedProcess {
    this.#starts += 1;
    const maxDrift = this.#options.maxClockDrift ?? 0;
    const host = this.network.createHost(spec.id, 1 + maxDrift * (2 * this.random.next() - 1));
    const meter = new TrafficMeter();
    const transport = new SimulatedTransport(this.network, host, gossipAddress(spec.id), this.#lookup, meter);
    const telemetry = new Telemetry({
      processName: spec.id,
      clock: host.clock,
      ringCapacity: this.#options.timelineCapacity ?? 4096,
    });
    const identity: MemberIdentity = {
      ...spec,
      gossip: gossipAddress(spec.id),
      peerUrl: `http://peer-${spec.id}`,
      callerUrl: callerUrl(spec.id),
      capacity: 0,
      processToken: `p${this.#starts}`,
    };
    const { overrides, membershipTiming } = this.#options;
    const node = new EntryNode({
      identity,
      seeds: [],
      peerKey: PEER_KEY,
      ports: this.#newPorts(host, transport, meter),
      clock: host.clock,
      random: Random.derive(this.#options.seed, `${spec.id}/${this.#starts}`),
      telemetry,
      ownershipTiming: { ...DEFAULT_OWNERSHIP_TIMING, ...overrides?.ownershipTiming },
      ...(membershipTiming === undefined ? {} : { membershipTiming }),
      ...(overrides?.revisionStore === undefined ? {} : { revisionStore: overrides.revisionStore() }),
    });
    const process = { spec, host, node, transport, meter, telemetry };
    this.#processes.set(spec.id, process);
    node.start();
    return process;
  }

  /** Ends a process immediately, as SIGKILL does. */
  kill(id: string): void {
    const process = this.#processes.get(id);
    if (process === undefined) return;
    process.host.clock.stop();
    process.node.kill();
    this.network.breakConnectionsOf(process.host);
    this.#remove(process);
  }

  /** Stops a node as planned; resolves with the number of requests still running when its process ended. */
  async stopPlanned(id: string, lingerMs: number, limitMs: number): Promise<number> {
    const process = this.#processes.get(id);
    if (process === undefined) return 0;
    await process.node.stop(lingerMs, limitMs);
    const { requests, forwardHandler } = process.node;
    const running = requests.active + forwardHandler.active;
    this.network.breakConnectionsOf(process.host);
    process.host.clock.stop();
    this.#remove(process);
    return running;
  }

  #remove(process: SimulatedProcess): void {
    this.#endedTelemetries.push(process.telemetry);
    if (this.#processes.get(process.spec.id) === process) this.#processes.delete(process.spec.id);
  }

  #newPorts(host: Host, transport: SimulatedTransport, meter: TrafficMeter): NodePorts {
    const { network, standin } = this;
    const { overrides } = this.#options;
    const peers = new SimulatedPeerCaller(network, host, this.#lookup, meter);
    const machines = new SimulatedMachineList(network, host, this.#platform, standin.machines);
    return {
      transport,
      peers: overrides?.peers?.(peers) ?? peers,
      forward: new SimulatedForwardClient(network, host, this.#lookup),
      configuration: new SimulatedConfigurationSource(network, host, this.#platform, standin.configuration),
      machines: overrides?.machines?.(machines) ?? machines,
      services: new SimulatedServiceClient(network, host, this.#serviceBackEnds()),
      newEngineClient: (engine) => {
        const client = this.#newEngineClient(host, engine, meter);
        return overrides?.engine?.(client) ?? client;
      },
    };
  }

  #newEngineClient(host: Host, engine: EngineDefinition, meter: TrafficMeter): EngineClient {
    const emulator = this.standin.engines.get(engine.id);
    const engineHost = this.#engineHosts.get(engine.id);
    if (emulator === undefined || engineHost === undefined) throw new Error(`no engine ${engine.id}`);
    return new SimulatedEngineClient(this.network, host, engineHost, emulator, this.engineFaults, meter);
  }

  #serviceBackEnds(): ConstructorParameters<typeof SimulatedServiceClient>[2] {
    const urls = this.#options.configuration.services.flatMap((service) =>
      service.backEnds.map((backEnd) => backEnd.url),
    );
    return new Map(
      urls.flatMap((url, index) => {
        const service = this.standin.services[index];
        return service === undefined ? [] : [[url, { host: this.#platform, service }] as const];
      }),
    );
  }

  #newStandin(): Standin {
    const { configuration, weightStore, engineBehaviour, overrides, seed } = this.#options;
    const behaviour = { ...DEFAULT_ENGINE_BEHAVIOUR, ...engineBehaviour };
    const listen = '127.0.0.1:0';
    const settings = standinSettingsSchema.parse({
      seed,
      listen,
      engines: configuration.engines.map(({ id, base, slots, maxBatch, checksFence }) => ({
        id,
        listen,
        base,
        slots,
        maxBatch,
        checksFence: checksFence && overrides?.enginesCheckFences !== false,
        behaviour,
      })),
      services: configuration.services.flatMap((service) =>
        service.backEnds.map(() => ({ name: service.name, listen })),
      ),
      weightStore,
    });
    return new Standin(settings, this.clock);
  }
}

function gossipAddress(id: string): string {
  return `gossip-${id}`;
}

function callerUrl(id: string): string {
  return `http://caller-${id}`;
}
