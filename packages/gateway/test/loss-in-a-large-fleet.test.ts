/** How soon all nodes of a large fleet know that one is gone. */
import { Random, VirtualClock } from '@canvasridge/clock';
import type { DatagramTransport } from '@canvasridge/membership';
import { Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import { Cluster } from '../src/cluster/cluster.js';

const NODES = 195;
const ONE_WAY_MS = 1.4;
const SETTLED_MS = 12_000;
const LOOK_MS = 100;

/** Nodes on a virtual wire that loses one datagram in a hundred. */
class Fleet {
  readonly clock = new VirtualClock();
  readonly clusters = new Map<string, Cluster>();
  readonly #random: Random;
  readonly #receivers = new Map<string, (from: string, bytes: Uint8Array) => void>();

  constructor(seed: number) {
    this.#random = Random.derive(seed, 'wire');
    const ids = Array.from({ length: NODES }, (_, index) => `node-${index}`);
    for (const id of ids) this.clusters.set(id, this.#start(id, ids.slice(0, 3), seed));
  }

  kill(id: string): void {
    this.clusters.get(id)?.stop();
    this.clusters.delete(id);
  }

  /** Time until no node takes it to serve any more, in milliseconds. */
  async untilKnown(id: string, limitMs: number): Promise<number> {
    const startedMs = this.clock.now();
    while (this.clock.now() - startedMs < limitMs) {
      await this.clock.runUntil(this.clock.now() + LOOK_MS);
      const believers = [...this.clusters.values()].filter((cluster) =>
        cluster.serving().some((member) => member.id === id),
      );
      if (believers.length === 0) break;
    }
    return this.clock.now() - startedMs;
  }

  #start(id: string, seeds: readonly string[], seed: number): Cluster {
    const cluster = new Cluster({
      nodeId: id,
      zone: 'z',
      region: 'r',
      peerAddress: id,
      frontAddress: id,
      processToken: id,
      capacity: 1,
      transport: this.#transport(id),
      clock: this.clock,
      random: Random.derive(seed, id),
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
        if (this.#random.next() < 0.01) return;
        this.clock.setTimer(ONE_WAY_MS, () => this.#receivers.get(to)?.(address, bytes));
      },
      onMessage: (receiver) => this.#receivers.set(address, receiver),
      close: () => this.#receivers.delete(address),
    };
  }
}

test(`${NODES} nodes give a lost one no more callers within three seconds, and blame no other`, async (t) => {
  t.timeout(120_000);
  const fleet = new Fleet(1);
  await fleet.clock.runUntil(SETTLED_MS);
  const all = [...fleet.clusters.values()];
  t.true(
    all.every((cluster) => cluster.serving().length === NODES),
    'all know all',
  );
  const times: number[] = [];
  for (const id of ['node-7', 'node-70', 'node-170']) {
    fleet.kill(id);
    times.push(await fleet.untilKnown(id, 20_000));
    await fleet.clock.runUntil(fleet.clock.now() + 3000);
  }
  t.log(times.join(', '));
  t.true(Math.max(...times) <= 3000, times.join());
  const left = NODES - times.length;
  t.true([...fleet.clusters.values()].every((cluster) => cluster.serving().length === left));
});
