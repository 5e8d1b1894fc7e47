/** Which nodes are preferred as leaders of pools and as readers of the store. */
import test from 'ava';
import { RESTARTED_PREFIX } from '../src/cluster/cluster.js';
import { VirtualClusters } from './virtual-clusters.js';

interface Machine {
  readonly id: string;
  readonly capacity: number;
  readonly restarted?: boolean;
}

function startClusters(machines: readonly Machine[]): VirtualClusters {
  const nodes = machines.map(({ id, capacity, restarted }) => ({
    id,
    capacity,
    processToken: `${restarted === true ? RESTARTED_PREFIX : ''}${id}`,
  }));
  const seeds = machines.map(({ id }) => id);
  return new VirtualClusters(nodes, seeds, { oneWayMs: 1, lossShare: 0, seed: 1 });
}

test('all nodes rank candidates by capacity first, then restarted ones before others', async (t) => {
  const nodes = startClusters([
    { id: 'small-1', capacity: 0.3 },
    { id: 'small-restarted', capacity: 0.3, restarted: true },
    { id: 'large-1', capacity: 1.35 },
    { id: 'large-restarted', capacity: 1.35, restarted: true },
    { id: 'small-2', capacity: 0.3 },
  ]);
  await nodes.clock.runUntil(3000);
  const [first, ...others] = [...nodes.clusters.values()].map((cluster) => cluster.candidates('pool'));
  t.deepEqual(first?.slice(0, 3), ['large-restarted', 'large-1', 'small-restarted']);
  for (const ranking of others) t.deepEqual(ranking, first);
});
