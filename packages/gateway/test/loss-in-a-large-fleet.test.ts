/** How soon all nodes of a large fleet know that a node is lost. */
import test from 'ava';
import { VirtualClusters } from './virtual-clusters.js';

const NODES = 195;
const ONE_WAY_MS = 1.4;
const LOSS_SHARE = 0.01;
const SETTLED_MS = 12_000;
const CHECK_PERIOD_MS = 100;

function fleetOf(seed: number): VirtualClusters {
  const ids = Array.from({ length: NODES }, (_, index) => `node-${index}`);
  const nodes = ids.map((id) => ({ id, capacity: 1, processToken: id }));
  return new VirtualClusters(nodes, ids.slice(0, 3), { oneWayMs: ONE_WAY_MS, lossShare: LOSS_SHARE, seed });
}

function kill({ clusters }: VirtualClusters, id: string): void {
  clusters.get(id)?.stop();
  clusters.delete(id);
}

/** Time until no node considers it to be serving any more, in milliseconds. */
async function untilKnown(
  { clock, clusters }: VirtualClusters,
  id: string,
  limitMs: number,
): Promise<number> {
  const startedMs = clock.now();
  while (clock.now() - startedMs < limitMs) {
    await clock.runUntil(clock.now() + CHECK_PERIOD_MS);
    const isListed = [...clusters.values()].some((cluster) =>
      cluster.serving().some((member) => member.id === id),
    );
    if (!isListed) break;
  }
  return clock.now() - startedMs;
}

test(`${NODES} nodes stop listing a lost node within three seconds, and no node is considered lost by mistake`, async (t) => {
  t.timeout(120_000);
  const fleet = fleetOf(1);
  await fleet.clock.runUntil(SETTLED_MS);
  const all = [...fleet.clusters.values()];
  t.true(
    all.every((cluster) => cluster.serving().length === NODES),
    'all nodes know all others',
  );
  const times: number[] = [];
  for (const id of ['node-7', 'node-70', 'node-170']) {
    kill(fleet, id);
    times.push(await untilKnown(fleet, id, 20_000));
    await fleet.clock.runUntil(fleet.clock.now() + 3000);
  }
  t.log(times.join(', '));
  t.true(Math.max(...times) <= 3000, times.join());
  const left = NODES - times.length;
  t.true([...fleet.clusters.values()].every((cluster) => cluster.serving().length === left));
});
