import { socketAddress } from '@canvasridge/addresses';
import type { VirtualClock } from '@canvasridge/clock';
import { FleetState, type BackendDescription, type ServingConfiguration } from '@canvasridge/serving';
import { Telemetry } from '@canvasridge/telemetry';
import {
  ConfigurationFreshness,
  ConfigurationFetcher,
  ConfigurationParts,
  FOLLOW_METHOD,
  PART_METHOD,
  StateFollower,
  departureBudget,
  type FollowRequest,
  type PartRequest,
} from '../src/index.js';
import { LinkNetwork } from './link-network.js';
import { addressOf } from './peer-addresses.js';

/**
 * Bandwidths assigned to the machines in rotation, in Mbit/s; the first machines have the fastest links and
 * read the store.
 */
const READER_MBIT = 70;
const FOLLOWER_MBITS = [7, 10, 20];
const ZONES = 3;
const BACKENDS = 100;
const READ_PERIOD_MS = 500;
const DRAIN_MS = 3000;

interface Node {
  readonly state: FleetState;
  readonly follower: StateFollower;
}

export interface LinkedFleetOptions {
  readonly nodes: number;
  readonly readers: number;
  readonly first: ServingConfiguration;
}

/**
 * Nodes on links of limited bandwidth, in virtual time. The first ones read a store and the others follow
 * them.
 */
export class LinkedFleet {
  readonly #clock: VirtualClock;
  readonly #network: LinkNetwork;
  readonly #ids: readonly string[];
  readonly #nodes: Node[] = [];
  #published: ServingConfiguration;

  constructor(clock: VirtualClock, { nodes, readers, first }: LinkedFleetOptions) {
    this.#clock = clock;
    this.#network = new LinkNetwork(clock);
    this.#ids = Array.from({ length: nodes }, (_, index) => `node-${index}`);
    this.#published = first;
    for (const index of this.#ids.keys()) this.#nodes.push(this.#newNode(index, index < readers));
    for (const { follower } of this.#nodes.slice(readers)) follower.start();
  }

  publish(configuration: ServingConfiguration): void {
    this.#published = configuration;
  }

  silence(index: number): void {
    this.#network.silence(this.#idOf(index));
  }

  /** Version of the configuration in force on each node. */
  versions(): number[] {
    return this.#nodes.map(({ state }) => state.configurationVersion);
  }

  /** Bytes sent by all nodes. */
  sentBytes(): number {
    return this.#ids.reduce((sum, id) => sum + this.#network.sentBytes(id), 0);
  }

  /** Largest number of bytes that waited to be sent at any one node. */
  maxWaitingBytes(): number {
    return Math.max(...this.#ids.map((id) => this.#network.maxWaitingBytes(id)));
  }

  #idOf(index: number): string {
    return this.#ids[index] ?? '';
  }

  #newNode(index: number, reads: boolean): Node {
    const state = new FleetState();
    state.applyConfiguration(this.#published);
    state.replaceBackends(
      1,
      Array.from({ length: BACKENDS }, (_, number) => backend(number)),
    );
    const id = this.#idOf(index);
    const shared = {
      clock: this.#clock,
      fleet: state,
      network: this.#network.callsOf(id),
      telemetry: new Telemetry({ processName: 'test', clock: this.#clock }),
    };
    const parts = new ConfigurationParts(state);
    const fetcher = new ConfigurationFetcher(shared);
    const follower = new StateFollower({
      ...shared,
      selfId: id,
      nodeCount: () => this.#ids.length,
      ranked: () => this.#ids,
      peerAddress: addressOf,
      zoneOf: (peer) => String(this.#ids.indexOf(peer) % ZONES),
      needsWholeState: () => reads,
      budget: departureBudget(DRAIN_MS),
      freshness: new ConfigurationFreshness(this.#clock, state),
      onConfigurationOffered: (version, address, isSameZone) => fetcher.offered(version, address, isSameZone),
    });
    const mbit = reads ? READER_MBIT : (FOLLOWER_MBITS[index % FOLLOWER_MBITS.length] ?? READER_MBIT);
    this.#network.add(id, mbit, {
      [FOLLOW_METHOD]: (params, waiting) => follower.answer(params as FollowRequest, waiting),
      [PART_METHOD]: (params, waiting) => parts.answer(params as PartRequest, waiting),
    });
    const node = { state, follower };
    if (reads) void this.#keepReading(node, index);
    return node;
  }

  async #keepReading({ state, follower }: Node, index: number): Promise<void> {
    await this.#clock.sleep(index);
    for (;;) {
      state.applyConfiguration(this.#published);
      state.advanceOperatorRevision(this.#published.version);
      follower.onStoreAnswered(this.#clock.now());
      await this.#clock.sleep(READ_PERIOD_MS);
    }
  }
}

function backend(number: number): { revision: number; value: BackendDescription } {
  const value: BackendDescription = {
    id: `engine-${number}`,
    service: 'llm',
    address: socketAddress(`10.0.0.${number}:8080`),
    zone: String(number % ZONES),
    state: 'ready',
    slots: 96,
    models: [{ name: 'base', adapters: [] }],
  };
  return { revision: 1, value };
}
