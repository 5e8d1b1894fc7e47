/**
 * Compares ways in which nodes can apply a limit that a backend of a plain service announces for all of them
 * together: each node the whole limit, each node an equal share without asking any other, or, as implemented,
 * by units that one node lends to those that need them. All run on the same seeds: 9 and 83 nodes, with four
 * times as many requests as the limit allows, for a minute.
 */
import test from 'ava';
import { LimitedFleet, allowed, type LimitMode } from './limited-fleet.js';

const SEEDS = [1, 2, 3, 4, 5];
const SECONDS = 60;

interface Result {
  /** The fullest window, as a fraction of what is allowed. */
  fullestWindow: number;
  /** Fraction of the limit that was used. */
  used: number;
}

async function run(mode: LimitMode, nodes: number, perSecond: number): Promise<Result> {
  const result: Result = { fullestWindow: 0, used: 0 };
  for (const seed of SEEDS) {
    const fleet = new LimitedFleet(nodes, seed, mode);
    fleet.announceLimit(perSecond);
    await fleet.send(perSecond * 4, SECONDS);
    result.fullestWindow = Math.max(result.fullestWindow, fleet.fullestWindow / allowed(perSecond));
    result.used += fleet.sentMs.length / (perSecond * SECONDS) / SEEDS.length;
  }
  return result;
}

for (const [nodes, perSecond] of [
  [9, 1.4],
  [83, 1.4],
  [83, 16],
] as const) {
  test(`${nodes} nodes, ${perSecond} a second: lent units stay within the limit, and use it best of the ways that do`, async (t) => {
    const rows = {
      alone: await run('alone', nodes, perSecond),
      shares: await run('shares', nodes, perSecond),
    };
    const built = await run('built', nodes, perSecond);
    t.log(JSON.stringify({ ...rows, built }));
    t.true(built.fullestWindow <= 1);
    t.true(built.used >= 0.9 && built.used <= 1.05);
    for (const other of Object.values(rows)) t.true(other.fullestWindow > 1 || built.used >= other.used);
  });
}
