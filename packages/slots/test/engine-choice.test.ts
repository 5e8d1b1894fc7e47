import { Random, VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import type { DisabledMechanisms } from '../src/index.js';
import { newPool } from './new-pool.js';
import { SimulatedBatch } from './simulated-batch.js';
import { SimulatedEngine } from './simulated-engines.js';
import { SimulatedTraffic, ZONES } from './simulated-traffic.js';

/** By this time a new pool holds the order leases of its engines. */
const HELD_MS = 5000;
const WARM_UP_MS = 4000;
const COUNTED_MS = 17_000;
const ENGINES = 15;
const REQUESTS_PER_SECOND = 4.5 * ENGINES;
const SEEDS = [1, 2, 3, 4, 5, 6];
const EQUAL_PACE_SEEDS = [1, 2];
/** How long an engine keeps its momentary speed, and how much slower it is in the slow share of these times. */
const MOMENT_MS = 600;
const SLOW_SHARE = 0.15;
const SLOW_FACTOR = 2.5;
const AS_BEFORE: DisabledMechanisms = new Set(['engine-pace', 'stream-pauses', 'own-zone']);

interface Load {
  /** Factors by which engines are slower than usual, repeated over the engines of each zone. */
  readonly paces: readonly number[];
  readonly swing: number;
  readonly seed: number;
}

interface Result {
  /** Shares of requests whose first event was in time, and of long streams and their longest tenth without a long pause. */
  readonly first: number;
  readonly smooth: number;
  readonly longestSmooth: number;
  /** Requests on the busiest engine, relative to the mean. */
  readonly busiest: number;
}

/** Slow moments of an engine, the same whatever is sent to it. */
function paceOf(random: Random, pace: number): (nowMs: number) => number {
  const moments = Array.from({ length: 100 }, () => (random.next() < SLOW_SHARE ? SLOW_FACTOR : 1));
  return (nowMs) => pace * (moments[Math.floor(nowMs / MOMENT_MS) % moments.length] ?? 1);
}

async function runLoad({ paces, swing, seed }: Load, disabled: DisabledMechanisms): Promise<Result> {
  const clock = new VirtualClock();
  const batches = new Map<string, SimulatedBatch>();
  const engines = Array.from({ length: ENGINES }, (_, index) => {
    const id = `e${index}`;
    const pace = paces[Math.floor(index / ZONES.length) % paces.length] ?? 1;
    batches.set(id, new SimulatedBatch(clock, paceOf(Random.derive(seed, id), pace)));
    return new SimulatedEngine(clock, id, { slots: 16, zone: ZONES[index % ZONES.length] ?? '' });
  });
  const pool = newPool(clock, engines, 1, new Map(), () => false, disabled);
  const traffic = new SimulatedTraffic(clock, seed, pool, batches);
  await clock.runUntil(HELD_MS);
  await traffic.sendUntil(HELD_MS + WARM_UP_MS, REQUESTS_PER_SECOND, swing);
  traffic.counts = true;
  await traffic.sendUntil(HELD_MS + WARM_UP_MS + COUNTED_MS, REQUESTS_PER_SECOND, swing);
  await clock.runUntil(clock.now() + 10_000);
  pool.close();
  const { tally, sent } = traffic;
  return {
    first: tally.first / tally.requests,
    smooth: tally.longSmooth / tally.long,
    longestSmooth: tally.longestSmooth / tally.longest,
    busiest: (Math.max(...sent.values()) * ENGINES) / tally.requests,
  };
}

/** Mean results over these seeds. */
async function meanResult(
  load: Omit<Load, 'seed'>,
  seeds: readonly number[],
  disabled: DisabledMechanisms,
): Promise<Result> {
  const mean = { first: 0, smooth: 0, longestSmooth: 0, busiest: 0 };
  for (const seed of seeds) {
    const result = await runLoad({ ...load, seed }, disabled);
    for (const name of ['first', 'smooth', 'longestSmooth', 'busiest'] as const)
      mean[name] += result[name] / seeds.length;
  }
  return mean;
}

function describeResult(name: string, result: Result): string {
  return `${name} ${Object.entries(result)
    .map(([key, value]) => `${key}=${(value as number).toFixed(3)}`)
    .join(' ')}`;
}

// Guards against streams that pause because prompts and streams go to engines regardless of how fast these are.
for (const swing of [0, 0.55]) {
  test(`engines of different pace: fewer streams pause than without the cost, swing ${swing}`, async (t) => {
    const load = { paces: [0.7, 0.7, 1.7], swing };
    const before = await meanResult(load, SEEDS, AS_BEFORE);
    const after = await meanResult(load, SEEDS, new Set());
    t.log(describeResult('before', before));
    t.log(describeResult('after ', after));
    t.true(after.smooth > before.smooth);
    t.true(after.longestSmooth > before.longestSmooth);
    t.true(after.first > before.first - 0.01);
  });

  // Guards against beliefs about engines that are equal in fact.
  test(`engines of equal pace: no worse than without the cost, swing ${swing}`, async (t) => {
    const load = { paces: [1], swing };
    const before = await meanResult(load, EQUAL_PACE_SEEDS, AS_BEFORE);
    const after = await meanResult(load, EQUAL_PACE_SEEDS, new Set());
    t.log(describeResult('before', before));
    t.log(describeResult('after ', after));
    t.true(after.smooth >= before.smooth);
    t.true(after.longestSmooth >= before.longestSmooth);
    t.true(after.first > before.first - 0.01);
  });
}
