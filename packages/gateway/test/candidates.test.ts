/** Which nodes lead pools and read the store for others first. */
import { Random, VirtualClock } from '@canvasridge/clock';
import type { DatagramTransport } from '@canvasridge/membership';
import { Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import { Cluster, RESTARTED_PREFIX } from '../src/cluster/cluster.js';

interface Machine {
  readonly id: string;
  readonly capacity: number;
  readonly restarted?: boolean;
}

/** Nodes that know one another, on a virtual wire. */
class Nodes {
  readonly clock = new VirtualClock();
  readonly clusters: readonly Cluster[];
  readonly #receivers = new Map<string, (from: string, bytes: Uint8Array) => void>();

  constructor(machines: readonly Machine[]) {
    const seeds = machines.map(({ id }) => id);
    this.clusters = machines.map((machine) => this.#start(machine, seeds));
  }

  #start({ id, capacity, restarted }: Machine, seeds: readonly string[]): Cluster {
    const cluster = new Cluster({
      nodeId: id,
      zone: 'z',
      region: 'r',
      peerAddress: id,
      frontAddress: id,
      processToken: `${restarted === true ? RESTARTED_PREFIX : ''}${id}`,
      capacity,
      transport: this.#transport(id),
      clock: this.clock,
      random: Random.derive(1, id),
      telemetry: new Telemetry({ processName: id, clock: this.clock }),
      seeds: () => seeds,
      configurationVersion: () => 0,
      onPeerVersion: () => undefined,
    });
    cluster.start();
    return cluster;
  }

  #transport(address: string): DatagramTransport {
    return {
      localAddress: address,
      send: (to, bytes) => {
        this.clock.setTimer(1, () => this.#receivers.get(to)?.(address, bytes));
      },
      onMessage: (receiver) => this.#receivers.set(address, receiver),
      close: () => this.#receivers.delete(address),
    };
  }
}

test('all nodes rank those first that can carry most, then those that were restarted', async (t) => {
  const nodes = new Nodes([
    { id: 'small-1', capacity: 0.3 },
    { id: 'small-restarted', capacity: 0.3, restarted: true },
    { id: 'large-1', capacity: 1.35 },
    { id: 'large-restarted', capacity: 1.35, restarted: true },
    { id: 'small-2', capacity: 0.3 },
  ]);
  await nodes.clock.runUntil(3000);
  const [first, ...others] = nodes.clusters.map((cluster) => cluster.candidates('pool'));
  t.deepEqual(first?.slice(0, 3), ['large-restarted', 'large-1', 'small-restarted']);
  for (const ranking of others) t.deepEqual(ranking, first);
});
