import { Random, VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import type { SlotRequest } from '../src/index.js';
import { newPool } from './new-pool.js';
import { SimulatedPrefill } from './simulated-prefill.js';
import { MODEL, SimulatedEngine } from './simulated-engines.js';

/** By this time a new pool holds the order leases of its engines. */
const HELD_MS = 5000;
const OBJECTIVE_MS = 800;
/** How long requests are sent. */
const RUN_MS = 30_000;

interface RunResult {
  readonly inTimeShare: number;
  /** Requests sent to each engine. */
  readonly sent: ReadonlyMap<string, number>;
  readonly violations: readonly string[];
}

/**
 * Loads a pool with a fraction of what its engines can process, with a few popular adapters and many rare ones.
 * @param speeds prefill time per token of each engine, in milliseconds
 */
async function runLoad(speeds: readonly number[], loadShare: number, seed: number): Promise<RunResult> {
  const clock = new VirtualClock();
  const random = new Random(seed);
  const engines = speeds.map((_, index) => new SimulatedEngine(clock, `e${index}`));
  const prefillByEngine = new Map(
    engines.map(({ description }, index) => [
      description.id,
      new SimulatedPrefill(clock, speeds[index] ?? 1),
    ]),
  );
  const pool = newPool(clock, engines);
  await clock.runUntil(HELD_MS);
  const tokensPerMs = speeds.reduce((sum, msPerToken) => sum + 1 / msPerToken, 0);
  const sent = new Map<string, number>();
  let requested = 0;
  let inTime = 0;
  while (clock.now() < HELD_MS + RUN_MS) {
    const promptTokens = 500 + random.integer(3000);
    const arrivedMs = clock.now();
    requested += 1;
    const request: SlotRequest = {
      id: `r${requested}`,
      traceId: `t${requested}`,
      model: MODEL,
      adapter: `a${Math.floor(random.exponential(4))}`,
      priority: 1,
      tenant: undefined,
      objectiveMs: OBJECTIVE_MS,
      ageMs: 0,
      timeoutMs: 5000,
      startWithinMs: 3000,
      excluded: [],
      promptTokens,
      promptKey: undefined,
    };
    pool.acquire(request, (decision) => {
      if (decision.kind !== 'granted') return;
      const { backendId } = decision;
      sent.set(backendId, (sent.get(backendId) ?? 0) + 1);
      prefillByEngine.get(backendId)?.process(promptTokens, () => {
        if (clock.now() - arrivedMs <= OBJECTIVE_MS) inTime += 1;
        pool.started(request.id);
        clock.setTimer(100, () => pool.release(request.id, 'served'));
      });
    });
    await clock.runUntil(arrivedMs + promptTokens / tokensPerMs / loadShare);
  }
  await clock.runUntil(clock.now() + 3000);
  pool.close();
  const violations = engines.flatMap((engine) => engine.violations);
  return { inTimeShare: inTime / requested, sent, violations };
}

for (const speeds of [
  [0.01, 0.01, 0.01],
  [0.05, 0.05, 0.05],
  [0.15, 0.15, 0.15],
  [0.01, 0.04, 0.16],
]) {
  test(`engines that process a token in ${speeds.join(', ')} ms serve nearly all requests in time at half load`, async (t) => {
    const result = await runLoad(speeds, 0.5, 3);
    t.true(result.inTimeShare > 0.85, `${result.inTimeShare}`);
    t.deepEqual(result.violations, []);
  });
}

test('a fast engine gets more requests than a slow one', async (t) => {
  const { sent } = await runLoad([0.01, 0.04, 0.16], 0.5, 5);
  t.true((sent.get('e0') ?? 0) > 2 * (sent.get('e2') ?? 0), JSON.stringify([...sent]));
});
