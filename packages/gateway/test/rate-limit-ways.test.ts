/**
 * How nodes may keep a limit that a backend of a plain service names for all of them together: each the whole limit by itself, each an
 * equal part of it without asking anybody, or, as built, by units that one node lends to whoever needs them.
 * Compared on the same seeds: 9 and 83 nodes, four times as many requests as the limit allows, over a minute.
 */
import test from 'ava';
import { LimitedFleet, allowed, type Way } from './limited-fleet.js';

const SEEDS = [1, 2, 3, 4, 5];
const SECONDS = 60;

interface Figures {
  /** The fullest window, in parts of what is allowed. */
  fullest: number;
  /** Part of the limit that was used. */
  used: number;
}

async function play(way: Way, nodes: number, perSecond: number): Promise<Figures> {
  const figures: Figures = { fullest: 0, used: 0 };
  for (const seed of SEEDS) {
    const fleet = new LimitedFleet(nodes, seed, way);
    fleet.name(perSecond);
    await fleet.send(perSecond * 4, SECONDS);
    figures.fullest = Math.max(figures.fullest, fleet.fullest / allowed(perSecond));
    figures.used += fleet.sentMs.length / (perSecond * SECONDS) / SEEDS.length;
  }
  return figures;
}

for (const [nodes, perSecond] of [
  [9, 1.4],
  [83, 1.4],
  [83, 16],
] as const) {
  test(`${nodes} nodes, ${perSecond} a second: units that are lent keep the limit, and use it best of those that do`, async (t) => {
    const rows = {
      alone: await play('alone', nodes, perSecond),
      shares: await play('shares', nodes, perSecond),
    };
    const built = await play('built', nodes, perSecond);
    t.log(JSON.stringify({ ...rows, built }));
    t.true(built.fullest <= 1);
    t.true(built.used >= 0.9 && built.used <= 1.05);
    for (const other of Object.values(rows)) t.true(other.fullest > 1 || built.used >= other.used);
  });
}
