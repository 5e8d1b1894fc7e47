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

/** A node of the fleet. */
export interface NodeSpec {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
}

/** Changes to the ports of every node, with which a safeguard is taken out of action. */
export interface PortChanges {
  readonly peers?: (caller: PeerCaller) => PeerCaller;
  readonly engine?: (client: EngineClient) => EngineClient;
  readonly machines?: (machines: NodePorts['machines']) => NodePorts['machines'];
  readonly ownershipTiming?: Partial<OwnershipTiming>;
  readonly revisionStore?: () => RevisionStore;
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
  readonly changes?: PortChanges;
  /** Most that a node's clock differs in rate from the others, as a share. */
  readonly clockSkew?: number;
  readonly timelineCapacity?: number;
}

/** A node process of the simulation, from start to end. */
export interface SimulatedProcess extends NodePeer {
  readonly spec: NodeSpec;
  readonly transport: SimulatedTransport;
  readonly meter: TrafficMeter;
  readonly telemetry: Telemetry;
}

const PLATFORM = 'platform';
const PEER_KEY = 'simulated-peer-key';

/**
 * A whole deployment in one process and in virtual time: the same node code as in production, bound to
 * a simulated network and the emulators. The same seed gives the same run.
 */
export class SimulatedFleet {
  readonly clock = new VirtualClock();
  readonly random: Random;
  readonly network: SimulatedNetwork;
  readonly standin: Standin;
  readonly engineFaults: EngineLinkFaults = { lateOrders: 0, latestMs: 0 };
  readonly #options: FleetOptions;
  readonly #processes = new Map<string, SimulatedProcess>();
  readonly #engineHosts = new Map<string, Host>();
  readonly #platform: Host;
  readonly #lookup: PeerLookup;
  readonly #past: Telemetry[] = [];
  #starts = 0;
  #publications = 0;

  constructor(options: FleetOptions) {
    this.#options = options;
    this.random = Random.derive(options.seed, 'fleet');
    this.network = new SimulatedNetwork(this.clock, Random.derive(options.seed, 'network'), {
      ...options.network,
    });
    this.standin = this.#newStandin();
    this.#platform = this.network.newHost(PLATFORM);
    for (const engine of options.configuration.engines) {
      this.#engineHosts.set(engine.id, this.network.newHost(engine.id));
    }
    this.#lookup = {
      byPeerUrl: (url) => this.#processes.get(url.slice('http://peer-'.length)),
      byGossip: (address) => {
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

  /** The running process of a node, if any. */
  process(id: string): SimulatedProcess | undefined {
    return this.#processes.get(id);
  }

  processes(): readonly SimulatedProcess[] {
    return [...this.#processes.values()];
  }

  /** Timelines of all processes, ended ones included. */
  telemetries(): readonly Telemetry[] {
    return [...this.#past, ...this.processes().map((process) => process.telemetry), this.standin.telemetry];
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
   * Publishes a configuration as an operator does: planned against what nodes have in force, confirmed
   * against the version that the service holds. `confirmedAt` is an older version, of one who was slow.
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

  /** Times that a head was published. */
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
    const skew = this.#options.clockSkew ?? 0;
    const host = this.network.newHost(spec.id, 1 + skew * (2 * this.random.next() - 1));
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
    const { changes, membershipTiming } = this.#options;
    const node = new EntryNode({
      identity,
      seeds: [],
      peerKey: PEER_KEY,
      ports: this.#newPorts(host, transport, meter),
      clock: host.clock,
      random: Random.derive(this.#options.seed, `${spec.id}/${this.#starts}`),
      telemetry,
      ownershipTiming: { ...DEFAULT_OWNERSHIP_TIMING, ...changes?.ownershipTiming },
      ...(membershipTiming === undefined ? {} : { membershipTiming }),
      ...(changes?.revisionStore === undefined ? {} : { revisionStore: changes.revisionStore() }),
    });
    const process = { spec, host, node, transport, meter, telemetry };
    this.#processes.set(spec.id, process);
    node.start();
    return process;
  }

  /** Ends a process at once, as SIGKILL does. */
  kill(id: string): void {
    const process = this.#processes.get(id);
    if (process === undefined) return;
    process.host.clock.stop();
    process.node.kill();
    this.network.hostStopped(process.host);
    this.#remove(process);
  }

  /** Planned stop; resolves with the number of requests that were running when the process ended. */
  async stopPlanned(id: string, lingerMs: number, limitMs: number): Promise<number> {
    const process = this.#processes.get(id);
    if (process === undefined) return 0;
    await process.node.stop(lingerMs, limitMs);
    const { requests, forwardHandler } = process.node;
    const running = requests.active + forwardHandler.active;
    this.network.hostStopped(process.host);
    process.host.clock.stop();
    this.#remove(process);
    return running;
  }

  #remove(process: SimulatedProcess): void {
    this.#past.push(process.telemetry);
    if (this.#processes.get(process.spec.id) === process) this.#processes.delete(process.spec.id);
  }

  #newPorts(host: Host, transport: SimulatedTransport, meter: TrafficMeter): NodePorts {
    const { network, standin } = this;
    const { changes } = this.#options;
    const peers = new SimulatedPeerCaller(network, host, this.#lookup, meter);
    const machines = new SimulatedMachineList(network, host, this.#platform, standin.machines);
    return {
      transport,
      peers: changes?.peers?.(peers) ?? peers,
      forward: new SimulatedForwardClient(network, host, this.#lookup),
      configuration: new SimulatedConfigurationSource(network, host, this.#platform, standin.configuration),
      machines: changes?.machines?.(machines) ?? machines,
      services: new SimulatedServiceClient(network, host, this.#serviceBackEnds()),
      newEngineClient: (engine) => {
        const client = this.#newEngineClient(host, engine, meter);
        return changes?.engine?.(client) ?? client;
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
    const { configuration, weightStore, engineBehaviour, changes, seed } = this.#options;
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
        checksFence: checksFence && changes?.enginesCheckFences !== false,
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
