/**
 * Guards against a silence of all backends of a service that each node takes for the loss of its own path: the leader of
 * the pool handed it over to a node that reached the engines no better, and nodes were left out of the directory.
 */
import test from 'ava';
import { PathFleet, SERVICE_LIMITS, type PathNode } from './virtual-paths.js';

const SEEDS = [1, 2, 3];
const SILENCES_MS = [500, 1000, 1500, 2000];
const LONG_SILENCE_MS = 10_000;
const SETTLED_MS = 12_000;
const STEP_MS = 20;
const FLEETS = [
  { nodes: 3, busy: 3 },
  { nodes: 12, busy: 3 },
  { nodes: 12, busy: 12 },
];
const ENGINES = 6;
/** Time after which all nodes have found a silence. */
const FOUND_MS = 3000;
const REQUESTS_FOR_MS = 2000;
const REQUEST_GAP_MS = 5;
/** Six for each of ten rounds a second while there are requests, and as many for all else. */
const MAX_QUESTIONS = 6 * 10 * 2 * 2;

async function startFleet(options: { nodes: number; busy: number; seed: number }): Promise<PathFleet> {
  const fleet = new PathFleet({ ...options, engines: ENGINES });
  await fleet.run(SETTLED_MS);
  return fleet;
}

/** Ids of the nodes that any node considered unable to reach a service that others reach. */
async function missedWithin(fleet: PathFleet, durationMs: number): Promise<Set<string>> {
  const missed = new Set<string>();
  for (let ms = 0; ms < durationMs; ms += STEP_MS) {
    await fleet.run(STEP_MS);
    for (const { id } of fleet.nodes)
      if (fleet.nodes.some(({ access }) => access.fleetPaths.isImpaired(id))) missed.add(id);
  }
  return missed;
}

function leaderOf(fleet: PathFleet): PathNode {
  const leader = fleet.leader();
  if (leader === undefined) throw new Error('no leader');
  return leader;
}

for (const { nodes, busy } of FLEETS) {
  // The leader handed its pool over in vain, so that no order was given until the leases of all engines had run out.
  test(`a silence of all engines moves no pool and leaves out no node, among ${nodes} nodes of which ${busy} are busy`, async (t) => {
    t.timeout(120_000);
    for (const silenceMs of SILENCES_MS) {
      for (const seed of SEEDS) {
        const name = `${silenceMs} ms, seed ${seed}`;
        const fleet = await startFleet({ nodes, busy, seed });
        const leader = leaderOf(fleet);
        fleet.silenceEngines(silenceMs);
        const missed = await missedWithin(fleet, SETTLED_MS);
        t.is(fleet.events('paths.impaired').length > 0, silenceMs >= 1000, name);
        t.deepEqual(fleet.events('pool.handed-over'), [], name);
        t.deepEqual([...missed], [], name);
        t.is(fleet.leader(), leader, name);
        fleet.stop();
      }
    }
  });
}

// A loss that only the nodes of a zone have must still be told from a silence.
for (const { nodes, busy } of FLEETS) {
  test(`a leader that is cut off with a third of the nodes hands its pool over once, among ${nodes} nodes of which ${busy} are busy`, async (t) => {
    t.timeout(120_000);
    for (const seed of SEEDS) {
      const fleet = await startFleet({ nodes, busy, seed });
      const leader = leaderOf(fleet);
      const others = fleet.nodes.filter((node) => node !== leader);
      const cutOff = [leader, ...others.slice(0, Math.ceil(nodes / 3) - 1)].map(({ id }) => id);
      for (const id of cutOff) fleet.cutOff.add(id);
      const missed = await missedWithin(fleet, SETTLED_MS);
      t.deepEqual([...missed].sort(), [...cutOff].sort(), `seed ${seed}`);
      t.is(fleet.events('pool.handed-over').length, 1, `seed ${seed}`);
      t.false(cutOff.includes(leaderOf(fleet).id), `seed ${seed}`);
      fleet.stop();
    }
  });
}

// Each request asked six nodes, which knew of no path and answered at once, so that the next request asked again.
test('requests during a silence of all engines ask other nodes a bounded number of times', async (t) => {
  const fleet = await startFleet({ nodes: 12, busy: 12, seed: 1 });
  const [node] = fleet.nodes;
  const backend = fleet.engine;
  if (node === undefined) throw new Error('no node');
  fleet.silenceEngines(LONG_SILENCE_MS);
  await fleet.run(FOUND_MS);
  const before = node.asked();
  const ways: Promise<unknown>[] = [];
  for (let ms = 0; ms < REQUESTS_FOR_MS; ms += REQUEST_GAP_MS) {
    ways.push(node.access.hops.open(backend, SERVICE_LIMITS, new Set(), true));
    await fleet.run(REQUEST_GAP_MS);
  }
  await fleet.run(SETTLED_MS);
  t.deepEqual(new Set(await Promise.all(ways)), new Set(['no-path']));
  const asked = node.asked() - before;
  t.true(asked <= MAX_QUESTIONS, `${asked} questions for ${ways.length} requests`);
  fleet.stop();
});

test('a long silence of all engines costs each node a bounded number of probes and questions', async (t) => {
  t.timeout(120_000);
  const nodes = 40;
  const fleet = await startFleet({ nodes, busy: nodes, seed: 1 });
  const before = { ...fleet.sent };
  fleet.silenceEngines(LONG_SILENCE_MS);
  await fleet.run(LONG_SILENCE_MS);
  const perNode = (count: number): number => count / nodes;
  const questions = perNode(fleet.sent.questions - before.questions);
  const probes = perNode(fleet.sent.probes - before.probes);
  t.true(questions <= 6 * 9, `${questions} questions`);
  t.true(probes <= 60, `${probes} probes`);
  fleet.stop();
});
