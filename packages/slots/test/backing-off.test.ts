import { VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import type { SlotDecision } from '../src/index.js';
import { newPool } from './new-pool.js';
import { newRequest as request } from './new-request.js';
import { SimulatedEngine } from './simulated-engines.js';

/** By this time a new pool holds the order leases of its engines. */
const HELD_MS = 5000;
/** Time in which an adapter is loaded. */
const LOADED_MS = 600;

test('no adapter is loaded onto an engine that told the leader to back off, but its loaded adapters are still granted', async (t) => {
  const clock = new VirtualClock();
  const engines = [new SimulatedEngine(clock, 'e1'), new SimulatedEngine(clock, 'e2')];
  let backingOff = 'e2';
  const pool = newPool(clock, engines, 1, new Map(), (id) => id === backingOff);
  await clock.runUntil(HELD_MS);
  const granted = new Map<string, SlotDecision>();
  let held = '';
  const ask = async (adapter: string): Promise<void> => {
    const asked = request(adapter, { promptTokens: 100 });
    held = asked.id;
    pool.acquire(asked, (decision) => granted.set(adapter, decision));
    await clock.runUntil(clock.now() + LOADED_MS);
  };
  for (const adapter of ['b', 'c', 'd', 'a']) await ask(adapter);
  t.deepEqual(
    engines.map(({ appliedOrders }) => appliedOrders.length),
    [4, 0],
  );
  for (const decision of granted.values()) t.like(decision, { kind: 'granted', backendId: 'e1' });
  backingOff = 'e1';
  pool.release(held, 'served');
  await ask('a');
  t.like(granted.get('a'), { kind: 'granted', backendId: 'e1' });
  pool.close();
});

test('a request that excludes all engines is refused at once instead of being held until it times out', async (t) => {
  const clock = new VirtualClock();
  const engines = [new SimulatedEngine(clock, 'e1'), new SimulatedEngine(clock, 'e2')];
  const pool = newPool(clock, engines);
  await clock.runUntil(HELD_MS);
  let decision: SlotDecision | undefined;
  pool.acquire(request('x', { excluded: ['e1', 'e2'] }), (given) => {
    decision = given;
  });
  await clock.runUntil(HELD_MS + 300);
  t.like(decision, { kind: 'refused', reason: 'no-engine', retryAfterMs: 300 });
  pool.close();
});
