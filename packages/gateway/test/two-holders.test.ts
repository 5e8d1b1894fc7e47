/**
 * Seen in production: orders of one node reached an engine after those of another node, with a lower fence
 * (fencing token), 15 s after the second one had become the leader.
 *
 * The first node was cut off from the others, but not from the engines. The others elected the next leader,
 * which became holder of the engines that had received no orders for a lease. The first node still considered
 * itself the holder of every engine that it had ever held, as this right never expired, and the leader, as it
 * noticed late that it saw nobody, and forgot after 8 s that it had ever seen more nodes.
 *
 * The test runs nodes with the real membership, election and leases, and engines that check each order that
 * arrives, even if they refuse it.
 */
import test from 'ava';
import { HolderFleet, type OpenDirections } from './virtual-holders.js';

const NODES = 7;
const ENGINES = 4;
const LOSS_SHARE = 0.01;
const SETTLED_MS = 12_000;
const SEEDS = [1, 2, 3, 4, 5, 6];

interface Cut {
  readonly name: string;
  readonly durationMs: number;
  readonly openDirections: OpenDirections;
  /** Whether the leader is cut off from the engines as well. */
  readonly engines: boolean;
}

const CUTS: readonly Cut[] = [
  { name: 'for three seconds', durationMs: 3000, openDirections: {}, engines: false },
  { name: 'for twelve seconds', durationMs: 12_000, openDirections: {}, engines: false },
  { name: 'also from the engines', durationMs: 12_000, openDirections: {}, engines: true },
  { name: 'so that it receives nothing', durationMs: 6000, openDirections: { speaks: true }, engines: false },
  {
    name: 'so that nothing it sends arrives',
    durationMs: 6000,
    openDirections: { hears: true },
    engines: false,
  },
];

async function run({ durationMs, openDirections, engines }: Cut, seed: number): Promise<HolderFleet> {
  const fleet = new HolderFleet({ nodes: NODES, engines: ENGINES, lossShare: LOSS_SHARE, seed });
  await fleet.run(SETTLED_MS);
  const leader = fleet.leader();
  if (leader === undefined) throw new Error('no node leads');
  fleet.cutFromNodes(leader, openDirections);
  if (engines) leader.control.isCut = true;
  await fleet.run(durationMs);
  fleet.heal();
  await fleet.run(SETTLED_MS);
  fleet.stop();
  return fleet;
}

test('a leader that is cut off gives no orders alternating with those of the next leader', async (t) => {
  t.timeout(120_000);
  const found: string[] = [];
  for (const cut of CUTS) {
    for (const seed of SEEDS) {
      const fleet = await run(cut, seed);
      t.true(fleet.orders > 0);
      found.push(...fleet.violations.map((violation) => `cut off ${cut.name}, seed ${seed}, ${violation}`));
    }
  }
  t.deepEqual(found, []);
});
