/**
 * Seen in a soak test (seed 612, four nodes): two nodes led the same engines for a minute, without knowing of
 * each other, and gave orders alternately.
 *
 * The three nodes configured as seeds were killed at once and restarted, the fourth was not. It saw them come
 * back, but they never learnt of it: a node that starts asks the seeds, which had lost their knowledge of it
 * as well, and members that compare what they know consider only members that the other side lists. So the
 * fourth node did not see their leader in time, claimed leadership with a higher epoch, and no other node
 * received that claim.
 *
 * The test runs memberships alone, in virtual time: if a node sees another one, it must also be seen by it.
 */
import test from 'ava';
import { VirtualClusters, type VirtualNode } from './virtual-clusters.js';

const SEEDS = ['n0', 'n1', 'n2'];
const SETTLED_MS = 10_000;
const DOWN_MS = 1200;

function node(id: string, processToken: string): VirtualNode {
  return { id, capacity: 1, processToken };
}

test('restarted nodes learn of a node that kept running although all their seeds were restarted as well', async (t) => {
  const nodes = [...SEEDS, 'n3'].map((id) => node(id, `first-${id}`));
  const link = { oneWayMs: 1.4, lossShare: 0, seed: 612 };
  const fleet = new VirtualClusters(nodes, SEEDS, link);
  const { clock, clusters } = fleet;
  await clock.runUntil(SETTLED_MS);
  for (const id of SEEDS) clusters.get(id)?.stop();
  await clock.runUntil(SETTLED_MS + DOWN_MS);
  for (const id of SEEDS) fleet.restart(node(id, `second-${id}`), SEEDS);
  await clock.runUntil(3 * SETTLED_MS);
  const seenBy = (id: string): string[] =>
    (clusters.get(id)?.serving() ?? []).map((member) => member.id).sort();
  t.deepEqual(seenBy('n3'), ['n0', 'n1', 'n2', 'n3'], 'the node that kept running sees all');
  for (const id of SEEDS) t.deepEqual(seenBy(id), ['n0', 'n1', 'n2', 'n3'], `${id} sees all`);
  for (const cluster of clusters.values()) cluster.stop();
});
