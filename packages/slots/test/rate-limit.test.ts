/** Engines that announce a limit on requests per second for all nodes together, in a pool whose leader makes all grants. */
import { Random, VirtualClock, hashSeed } from '@canvasridge/clock';
import test from 'ava';
import type { SlotDecision, SlotPool } from '../src/index.js';
import { newPool } from './new-pool.js';
import { newRequest } from './new-request.js';
import { SimulatedEngine } from './simulated-engines.js';

/** By this time a new pool holds the order leases of its engines. */
const HELD_MS = 5000;
const PER_SECOND = 1.4;
const RULE = { ratePerSecond: PER_SECOND, burst: 2 };
const WINDOW_MS = 4000;
/** How long a granted request runs. */
const RUN_MS = 300;
const SEEDS = [1, 2, 3, 4, 5];

interface Figures {
  readonly grantedMs: Map<string, number[]>;
  refused: number;
  /** Longest time until a refused request got its refusal. */
  longestRefusalMs: number;
}

/** Sends about 20 requests per second for a few adapters. Granted requests run for a while. */
async function runLoad(
  clock: VirtualClock,
  pool: SlotPool,
  seed: number,
  seconds: number,
  adapters = 4,
): Promise<Figures> {
  const random = new Random(hashSeed(`rate-limit-${seed}`));
  const figures: Figures = { grantedMs: new Map(), refused: 0, longestRefusalMs: 0 };
  const endMs = clock.now() + seconds * 1000;
  while (clock.now() < endMs) {
    const request = newRequest(`a${random.integer(adapters)}`);
    const askedMs = clock.now();
    const decide = (decision: SlotDecision): void => {
      if (decision.kind === 'refused') {
        figures.refused += 1;
        figures.longestRefusalMs = Math.max(figures.longestRefusalMs, clock.now() - askedMs);
        return;
      }
      const { backendId } = decision;
      figures.grantedMs.set(backendId, [...(figures.grantedMs.get(backendId) ?? []), clock.now()]);
      clock.setTimer(RUN_MS, () => pool.release(request.id, 'served'));
    };
    pool.acquire(request, decide);
    await clock.runUntil(clock.now() - Math.log(1 - random.next()) * 50);
  }
  return figures;
}

/** Largest number of times that fall into one window. */
function maxInWindow(timesMs: readonly number[]): number {
  const counts = timesMs.map(
    (fromMs) => timesMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + WINDOW_MS).length,
  );
  return Math.max(0, ...counts);
}

async function startPool(engines: number): Promise<{ clock: VirtualClock; pool: SlotPool }> {
  const clock = new VirtualClock();
  const pool = newPool(
    clock,
    Array.from({ length: engines }, (_, index) => new SimulatedEngine(clock, `e${index}`)),
  );
  await clock.runUntil(HELD_MS);
  return { clock, pool };
}

const MAX_IN_WINDOW = 1.5 * PER_SECOND * (WINDOW_MS / 1000) + 5;

test('an engine with a rate limit gets no more than its limit, and other engines serve its adapters', async (t) => {
  for (const seed of SEEDS) {
    const { clock, pool } = await startPool(3);
    await runLoad(clock, pool, seed, 5);
    pool.setRateLimit('e0', RULE);
    const { grantedMs, refused } = await runLoad(clock, pool, seed + 100, 30);
    const limited = grantedMs.get('e0') ?? [];
    t.true(maxInWindow(limited) <= MAX_IN_WINDOW, `seed ${seed}: ${maxInWindow(limited)} in 4 s`);
    t.true(limited.length <= PER_SECOND * 30 + RULE.burst, `seed ${seed}: ${limited.length} in 30 s`);
    t.is(refused, 0, `seed ${seed}`);
    t.log(`seed ${seed}: used ${(limited.length / (PER_SECOND * 30)).toFixed(2)} of the limit`);
  }
});

test('if all engines have a rate limit, the limits are used up and requests beyond them are refused', async (t) => {
  for (const seed of SEEDS) {
    const { clock, pool } = await startPool(3);
    await runLoad(clock, pool, seed, 5);
    for (const id of ['e0', 'e1', 'e2']) pool.setRateLimit(id, RULE);
    const { grantedMs, refused } = await runLoad(clock, pool, seed + 100, 30);
    for (const [id, timesMs] of grantedMs) {
      t.true(maxInWindow(timesMs) <= MAX_IN_WINDOW, `seed ${seed}: ${id} ${maxInWindow(timesMs)} in 4 s`);
    }
    const granted = [...grantedMs.values()].flat().length;
    t.true(granted >= 0.9 * 3 * PER_SECOND * 30, `seed ${seed}: ${granted} granted`);
    t.log(`seed ${seed}: used ${(granted / (3 * PER_SECOND * 30)).toFixed(2)}, ${refused} refused`);
  }
});

test('a grant states the rate limit it was made within, or that a former limit has ended', async (t) => {
  const { clock, pool } = await startPool(1);
  const rates: unknown[] = [];
  const ask = async (): Promise<void> => {
    const request = newRequest('x');
    pool.acquire(request, (decision) => {
      rates.push(decision.kind === 'granted' ? decision.ratePerSecond : 'refused');
      pool.release(request.id, 'served');
    });
    await clock.runUntil(clock.now() + 2000);
  };
  await ask();
  pool.setRateLimit('e0', RULE);
  await ask();
  pool.setRateLimit('e0', undefined);
  await ask();
  t.deepEqual(rates, [undefined, PER_SECOND, null]);
});
