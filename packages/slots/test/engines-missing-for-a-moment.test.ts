/**
 * Guards against taking engines that are missing from the list for a moment for gone. Requests that had waited for longer
 * than the time for which such engines are awaited, and all for a base model, were refused as soon as the list lacked the
 * engines.
 */
import { VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import type { SlotPool, SlotRequest } from '../src/index.js';
import { newPool } from './new-pool.js';
import { newRequest } from './new-request.js';
import { PROFILE, SimulatedEngine } from './simulated-engines.js';

const HELD_MS = 5000;
const MISSING_MS = 100;
/** Time for a load, and for the leader to hold the engine again. */
const SERVED_MS = 1000;

for (const { name, adapter, changes } of [
  { name: 'a request for an adapter that has waited for long', adapter: 'x', changes: { ageMs: 1500 } },
  { name: 'a new request for an adapter', adapter: 'x', changes: {} },
  { name: 'a new request for a base model', adapter: undefined, changes: {} },
  {
    name: 'a request for a base model that has waited for long',
    adapter: undefined,
    changes: { ageMs: 1500 },
  },
]) {
  test(`${name} is not refused while its engines are missing from the list for a moment`, async (t) => {
    const clock = new VirtualClock();
    const engine = new SimulatedEngine(clock, 'e1');
    const pool = newPool(clock, [engine]);
    await clock.runUntil(HELD_MS);
    pool.setEngines([], PROFILE);
    const decisions = ask(pool, adapter, changes);
    await clock.runUntil(HELD_MS + MISSING_MS);
    pool.setEngines([engine.description], PROFILE);
    await clock.runUntil(HELD_MS + MISSING_MS + SERVED_MS);
    t.deepEqual(decisions, ['granted']);
  });
}

test('requests are refused when no engine that may serve them has been listed for a while', async (t) => {
  const clock = new VirtualClock();
  const engine = new SimulatedEngine(clock, 'e1');
  const pool = newPool(clock, [engine]);
  await clock.runUntil(HELD_MS);
  pool.setEngines([], PROFILE);
  const early = [ask(pool, 'x', {}), ask(pool, undefined, { ageMs: 1500 })];
  await clock.runUntil(HELD_MS + 300);
  t.deepEqual(early, [['refused'], ['refused']]);
  const late = ask(pool, 'x', { ageMs: 1500 });
  await clock.runUntil(HELD_MS + 400);
  t.deepEqual(late, ['refused'], 'it is not awaited once more by each request');
});

function ask(pool: SlotPool, adapter: string | undefined, changes: Partial<SlotRequest>): string[] {
  const decisions: string[] = [];
  pool.acquire(newRequest(adapter, { timeoutMs: 20_000, ...changes }), ({ kind }) => decisions.push(kind));
  return decisions;
}
