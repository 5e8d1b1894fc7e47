import { Random, SuspendableClock, VirtualClock } from '@canvasridge/clock';
import type { DatagramTransport } from '@canvasridge/membership';
import { Telemetry } from '@canvasridge/telemetry';
import { Cluster } from '../src/cluster/cluster.js';
import { addressOf, idAt } from './peer-addresses.js';

/** A node of {@link VirtualClusters}. */
export interface VirtualNode {
  readonly id: string;
  /** CPU time in cores of the usual speed. */
  readonly capacity: number;
  readonly processToken: string;
}

export interface VirtualLink {
  readonly oneWayMs: number;
  /** Fraction of the datagrams that is lost, from 0 to 1. */
  readonly lossShare: number;
  readonly seed: number;
}

/** The memberships of nodes on one simulated network, in virtual time. */
export class VirtualClusters {
  readonly clock = new VirtualClock();
  readonly clusters = new Map<string, Cluster>();
  /** Clocks of the nodes' machines; datagrams to a suspended machine are lost. */
  readonly clocks = new Map<string, SuspendableClock>();
  /** Pairs of nodes, as `from>to`, between which datagrams are dropped. */
  readonly cuts = new Set<string>();
  /** Called with the node that received another node's list of quarantined requests. */
  onQuarantine: (id: string) => void = () => undefined;
  readonly #link: VirtualLink;
  readonly #random: Random;
  readonly #receivers = new Map<string, (from: string, bytes: Uint8Array) => void>();

  /** @param seeds names of the nodes that each node knows when it starts */
  constructor(nodes: readonly VirtualNode[], seeds: readonly string[], link: VirtualLink) {
    this.#link = link;
    this.#random = Random.derive(link.seed, 'wire');
    for (const node of nodes) this.clusters.set(node.id, this.#start(node, seeds));
  }

  /**
   * Kills a node's process without notice, and starts another one on its machine that knows nothing but the
   * seeds.
   */
  restart(node: VirtualNode, seeds: readonly string[]): void {
    this.clusters.get(node.id)?.stop();
    this.clusters.set(node.id, this.#start(node, seeds));
  }

  #start({ id, capacity, processToken }: VirtualNode, seeds: readonly string[]): Cluster {
    const clock = new SuspendableClock(this.clock);
    this.clocks.set(id, clock);
    const cluster = new Cluster({
      nodeId: id,
      zone: 'z',
      region: 'r',
      peerAddress: addressOf(id),
      frontAddress: addressOf(id),
      processToken,
      capacity,
      transport: this.#transport(id),
      clock,
      random: Random.derive(this.#link.seed, id),
      telemetry: new Telemetry({ processName: id, clock }),
      seeds: () => seeds.map(addressOf),
      configurationVersion: () => 0,
      onPeerVersion: () => undefined,
      onQuarantine: () => this.onQuarantine(id),
    });
    cluster.start();
    return cluster;
  }

  #transport(from: string): DatagramTransport {
    const { oneWayMs, lossShare } = this.#link;
    return {
      localAddress: addressOf(from),
      send: (address, bytes) => {
        const to = idAt(address);
        if (this.#random.next() < lossShare || this.cuts.has(`${from}>${to}`)) return;
        this.clock.setTimer(oneWayMs, () => {
          if (this.clocks.get(to)?.isSuspended !== true) this.#receivers.get(to)?.(addressOf(from), bytes);
        });
      },
      onMessage: (receiver) => this.#receivers.set(from, receiver),
      close: () => this.#receivers.delete(from),
    };
  }
}
