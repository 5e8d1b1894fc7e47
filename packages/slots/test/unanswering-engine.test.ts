/**
 * Seen in production: engines that had crashed were chosen again and again (68 requests on one day), until their
 * entries left the published list. A failure made an engine only less attractive, and for a short time.
 */
import { VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import type { SlotPool, UseOutcome } from '../src/index.js';
import { newPool } from './new-pool.js';
import { newRequest } from './new-request.js';
import { SimulatedEngine } from './simulated-engines.js';

const HELD_MS = 5000;
/** Time from a grant to the failure of a request at an engine that does not answer. */
const FAILS_AFTER_MS = 5;
const INTERVAL_MS = 100;

interface Fixture {
  readonly clock: VirtualClock;
  readonly engines: readonly SimulatedEngine[];
  readonly pool: SlotPool;
}

async function startPool(): Promise<Fixture> {
  const clock = new VirtualClock();
  const engines = ['e1', 'e2', 'e3'].map((id) => new SimulatedEngine(clock, id));
  const pool = newPool(clock, engines);
  await clock.runUntil(HELD_MS);
  return { clock, engines, pool };
}

/** Sends requests for one adapter; returns how often each engine was granted. */
async function send({ clock, engines, pool }: Fixture, durationMs: number): Promise<Map<string, number>> {
  const grants = new Map<string, number>();
  const endMs = clock.now() + durationMs;
  while (clock.now() < endMs) {
    pool.acquire(newRequest('x'), (decision) => {
      if (decision.kind !== 'granted') return;
      const { requestId, backendId } = decision;
      grants.set(backendId, (grants.get(backendId) ?? 0) + 1);
      const isReachable = engines.find(({ description }) => description.id === backendId)?.reachable === true;
      const outcome: UseOutcome = isReachable ? 'served' : 'refused';
      if (isReachable) clock.setTimer(FAILS_AFTER_MS, () => pool.started(requestId));
      clock.setTimer(2 * FAILS_AFTER_MS, () => pool.release(requestId, outcome));
    });
    await clock.runUntil(clock.now() + INTERVAL_MS);
  }
  return grants;
}

/** The engine that was granted most. */
function holderOf(grants: ReadonlyMap<string, number>, { engines }: Fixture): SimulatedEngine {
  const [id] = [...grants].sort(([, a], [, b]) => b - a)[0] ?? [];
  const holder = engines.find(({ description }) => description.id === id);
  if (holder === undefined) throw new Error('no engine was granted');
  return holder;
}

// Guards against choosing an engine that crashed while it is still on the published list.
test('an engine that does not answer after a failure gets no further requests', async (t) => {
  const fixture = await startPool();
  const holder = holderOf(await send(fixture, 1000), fixture);
  holder.reachable = false;
  const { id } = holder.description;
  const grants = await send(fixture, 5000);
  t.true((grants.get(id) ?? 0) <= 1, `${grants.get(id)} of ${[...grants.values()].join(', ')}`);
  t.true([...grants.values()].reduce((sum, count) => sum + count, 0) >= 40, 'the others serve');
});

test('an engine that answers again gets requests again', async (t) => {
  const fixture = await startPool();
  const { clock, engines } = fixture;
  const holder = holderOf(await send(fixture, 1000), fixture);
  holder.reachable = false;
  await send(fixture, 2000);
  holder.reachable = true;
  await clock.runUntil(clock.now() + 2000);
  for (const engine of engines) engine.reachable = engine === holder;
  const grants = await send(fixture, 3000);
  t.true((grants.get(holder.description.id) ?? 0) >= 10, [...grants].join(' '));
});

// Guards against withholding all engines from a fleet whose leader alone is cut off from them.
test('no engine is withheld when none answers', async (t) => {
  const fixture = await startPool();
  await send(fixture, 1000);
  for (const engine of fixture.engines) engine.reachable = false;
  await send(fixture, 3000);
  const grants = await send(fixture, 3000);
  t.true([...grants.values()].reduce((sum, count) => sum + count, 0) > 0);
});
