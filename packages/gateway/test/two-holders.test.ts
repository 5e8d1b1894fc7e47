/**
 * Seen in operation: orders of one node reached an engine after those of another node, with a lower fence, 15 s after
 * the second one had taken over the lead.
 *
 * The first node was cut off from the others, but not from the engines. The others elected the next leader, which took the
 * engines that had stood still for a lease. The first one still took itself for the holder of every engine that it had ever
 * held, as this right had no end, and for the leader, as it noticed late that it saw nobody, and forgot after 8 s that it had
 * ever seen more.
 * Shown by nodes with the real membership, election and leases, and by engines that judge each order that comes,
 * also one that is refused.
 */
import test from 'ava';
import { HolderFleet, type CutWays } from './virtual-holders.js';

const NODES = 7;
const ENGINES = 4;
const LOSS_SHARE = 0.01;
const SETTLED_MS = 12_000;
const SEEDS = [1, 2, 3, 4, 5, 6];

interface Cut {
  readonly name: string;
  readonly lastsMs: number;
  readonly ways: CutWays;
  /** Whether it is cut off from the engines as well. */
  readonly engines: boolean;
}

const CUTS: readonly Cut[] = [
  { name: 'for three seconds', lastsMs: 3000, ways: {}, engines: false },
  { name: 'for twelve seconds', lastsMs: 12_000, ways: {}, engines: false },
  { name: 'also from the engines', lastsMs: 12_000, ways: {}, engines: true },
  { name: 'so that it hears nobody', lastsMs: 6000, ways: { speaks: true }, engines: false },
  { name: 'so that nobody hears it', lastsMs: 6000, ways: { hears: true }, engines: false },
];

async function play({ lastsMs, ways, engines }: Cut, seed: number): Promise<HolderFleet> {
  const fleet = new HolderFleet({ nodes: NODES, engines: ENGINES, lossShare: LOSS_SHARE, seed });
  await fleet.run(SETTLED_MS);
  const leader = fleet.leader();
  if (leader === undefined) throw new Error('no node leads');
  fleet.cutFromNodes(leader, ways);
  if (engines) leader.control.isCut = true;
  await fleet.run(lastsMs);
  fleet.heal();
  await fleet.run(SETTLED_MS);
  fleet.stop();
  return fleet;
}

test('a leader that is cut off takes no turns with the next one', async (t) => {
  t.timeout(120_000);
  const found: string[] = [];
  for (const cut of CUTS) {
    for (const seed of SEEDS) {
      const fleet = await play(cut, seed);
      t.true(fleet.orders > 0);
      found.push(...fleet.violations.map((violation) => `cut off ${cut.name}, seed ${seed}, ${violation}`));
    }
  }
  t.deepEqual(found, []);
});
