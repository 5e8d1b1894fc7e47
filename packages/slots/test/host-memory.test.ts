import { Random, VirtualClock } from '@canvasridge/clock';
import { Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import { AdapterMemory } from '../src/adapter-memory.js';
import { HostMemory } from '../src/host-memory.js';

const ENGINES = 12;
const ADAPTERS = 400;

function newMemory(clock: VirtualClock, learns = true): HostMemory {
  const telemetry = new Telemetry({ processName: 'test', clock });
  return new HostMemory({ clock, memory: new AdapterMemory(), telemetry, service: 'llm', learns });
}

interface Totals {
  warm: number;
  wrong: number;
  loads: number;
}

/** Loads adapters on engines that keep `kept` adapters. Popular adapters are loaded more often. */
async function loadFor(
  clock: VirtualClock,
  memory: HostMemory,
  kept: () => number,
  random: Random,
  loads: number,
  outlierShare = 0,
): Promise<Totals> {
  const engines = Array.from({ length: ENGINES }, (): string[] => []);
  const totals = { warm: 0, wrong: 0, loads };
  for (let load = 0; load < loads; load += 1) {
    await clock.runUntil(clock.now() + 50);
    const key = `a${Math.floor(ADAPTERS * random.next() ** 2)}`;
    const index = random.integer(ENGINES);
    const recent = engines[index] ?? [];
    const id = `e${index}`;
    const depth = memory.depthOf(id, key);
    const isKept = recent.slice(0, kept()).includes(key);
    const warm = isKept && random.next() >= outlierShare;
    if (depth !== undefined && memory.isWorthTrying(id, key)) {
      memory.recordTried(depth);
      memory.recordOutcome(depth, warm);
      if (warm) totals.warm += 1;
      else totals.wrong += 1;
    }
    memory.record(id, key);
    engines[index] = [key, ...recent.filter((other) => other !== key)];
  }
  return totals;
}

for (const kept of [20, 34, 60, 110]) {
  test(`the number of adapters that engines keep is learnt, ${kept}`, async (t) => {
    const clock = new VirtualClock();
    const memory = newMemory(clock);
    await loadFor(clock, memory, () => kept, new Random(kept), 6000);
    const learnt = memory.adaptersPerEngine;
    t.true(learnt >= kept * 0.85 && learnt <= kept * 1.05, `learnt ${learnt}`);
  });
}

test('more loads are found in host memory than by the initial estimate, and few beliefs are wrong', async (t) => {
  for (const seed of [1, 2, 3]) {
    const learning = await run(seed, true);
    const fixed = await run(seed, false);
    t.true(learning.warm > fixed.warm * 1.2, `${learning.warm} and ${fixed.warm} warm loads`);
    t.true(learning.wrong <= learning.warm * 0.02, `${learning.wrong} of ${learning.warm} were wrong`);
  }

  function run(seed: number, learns: boolean): Promise<Totals> {
    const clock = new VirtualClock();
    return loadFor(clock, newMemory(clock, learns), () => 80, new Random(seed), 6000);
  }
});

test('engines that keep fewer adapters than assumed are tried in vain only for a short time', async (t) => {
  const clock = new VirtualClock();
  const memory = newMemory(clock);
  const random = new Random(5);
  const totals = await loadFor(clock, memory, () => 20, random, 6000);
  t.true(totals.wrong <= totals.warm * 0.1, `${totals.wrong} wrong, ${totals.warm} warm`);
});

test('single loads that are late for other reasons do not lower the estimate', async (t) => {
  const clock = new VirtualClock();
  const memory = newMemory(clock);
  await loadFor(clock, memory, () => 60, new Random(7), 6000, 0.03);
  t.true(memory.adaptersPerEngine >= 45, `learnt ${memory.adaptersPerEngine}`);
});

test('a single late load changes nothing', (t) => {
  const memory = newMemory(new VirtualClock());
  const before = memory.adaptersPerEngine;
  memory.recordOutcome(3, false);
  t.is(memory.adaptersPerEngine, before);
});

test('an adapter slightly beyond the estimate is tried rarely, and more rarely after failures', async (t) => {
  const clock = new VirtualClock();
  const memory = newMemory(clock);
  memory.record('e', 'old');
  for (let adapter = 0; adapter < 36; adapter += 1) memory.record('e', `a${adapter}`);
  let tried = 0;
  for (let step = 0; step < 6000; step += 1) {
    await clock.runUntil(clock.now() + 10);
    t.false(memory.has('e', 'old'));
    if (!memory.isWorthTrying('e', 'old')) continue;
    tried += 1;
    memory.recordTried(36);
    memory.recordOutcome(36, false);
  }
  t.true(tried >= 2 && tried <= 8, `tried ${tried} times in a minute`);
});

test('with the mechanism disabled, the initial estimate stays', async (t) => {
  const clock = new VirtualClock();
  const memory = newMemory(clock, false);
  const before = memory.adaptersPerEngine;
  await loadFor(clock, memory, () => 110, new Random(1), 1000);
  t.is(memory.adaptersPerEngine, before);
});
