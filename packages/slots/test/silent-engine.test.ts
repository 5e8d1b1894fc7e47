/**
 * Guards against waiting for an engine that does not answer an order, and against giving up an engine that is only silent
 * for a moment. A request whose adapter was being loaded by an engine that had stopped answering waited for that engine
 * alone, while another one could load the adapter.
 */
import { VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import type { SlotDecision, SlotPool } from '../src/index.js';
import { newPool } from './new-pool.js';
import { newRequest } from './new-request.js';
import { SimulatedEngine } from './simulated-engines.js';

const HELD_MS = 5000;
const SILENT_MS = 1000;
/** Time for a report, which precedes an order, and for the order to arrive. */
const ORDER_ARRIVES_MS = 7;
/** Time for an order to be given up, and a load on another engine. */
const ELSEWHERE_MS = 1500;
/** Time for a load, and for an order that was lost to be found out by a report. */
const SETTLED_MS = 2000;

interface Fixture {
  readonly clock: VirtualClock;
  readonly engines: readonly SimulatedEngine[];
  readonly pool: SlotPool;
}

async function startPool(count: number): Promise<Fixture> {
  const clock = new VirtualClock();
  const engines = Array.from({ length: count }, (_, index) => new SimulatedEngine(clock, `e${index + 1}`));
  const pool = newPool(clock, engines);
  await clock.runUntil(HELD_MS);
  return { clock, engines, pool };
}

interface Asked {
  readonly id: string;
  decision: SlotDecision | undefined;
}

function ask(pool: SlotPool, adapter: string, excluded: readonly string[] = []): Asked {
  const request = newRequest(adapter, { timeoutMs: 20_000, excluded });
  const asked: Asked = { id: request.id, decision: undefined };
  pool.acquire(request, (decision) => {
    asked.decision = decision;
  });
  return asked;
}

function engineOf({ decision }: Asked): string | undefined {
  return decision?.kind === 'granted' ? decision.backendId : undefined;
}

async function pass({ clock }: Fixture, spanMs: number): Promise<void> {
  await clock.runUntil(clock.now() + spanMs);
}

test('a request whose adapter an engine was ordered to load, without an answer, gets it on another engine', async (t) => {
  const fixture = await startPool(2);
  const { pool, engines } = fixture;
  const asked = ask(pool, 'x');
  // Which engine was chosen shows when the order arrives.
  for (const engine of engines) engine.losesAnswers = true;
  await pass(fixture, ORDER_ARRIVES_MS);
  const silent = engines.find(({ receivedOrders }) => receivedOrders.length > 0);
  const other = engines.find((engine) => engine !== silent);
  if (silent === undefined || other === undefined) return t.fail('no engine was ordered to load');
  silent.reachable = false;
  other.losesAnswers = false;
  await pass(fixture, ELSEWHERE_MS);
  t.is(engineOf(asked), other.description.id);
  t.deepEqual(other.violations, []);
});

test('an engine that is silent for a second keeps its adapters and its order lease', async (t) => {
  const fixture = await startPool(1);
  const { pool, engines } = fixture;
  const [engine] = engines as readonly [SimulatedEngine];
  const first = ask(pool, 'x');
  await pass(fixture, SETTLED_MS);
  t.is(engineOf(first), 'e1');
  pool.started(first.id);
  pool.release(first.id, 'served');
  engine.reachable = false;
  const lost = ask(pool, 'y');
  await pass(fixture, SILENT_MS);
  engine.reachable = true;
  const held = ask(pool, 'x');
  await pass(fixture, 1);
  t.is(engineOf(held), 'e1', 'what it had loaded is used at once');
  await pass(fixture, SETTLED_MS);
  t.is(engineOf(lost), 'e1', 'the order that was lost is given again, without waiting for a lease');
  t.is(engine.appliedOrders.filter(({ order }) => order.action === 'unload').length, 0);
  t.deepEqual(engine.violations, []);
});

test('an engine that lost a request by its silence is granted again soon after it goes on', async (t) => {
  const fixture = await startPool(2);
  const { pool, engines } = fixture;
  const [engine] = engines as readonly [SimulatedEngine];
  const askEngine = (): Asked => ask(pool, 'x', ['e2']);
  const first = askEngine();
  await pass(fixture, SETTLED_MS);
  t.is(engineOf(first), 'e1');
  engine.reachable = false;
  await pass(fixture, SILENT_MS);
  pool.release(first.id, 'failed');
  await pass(fixture, ORDER_ARRIVES_MS * 2);
  const withheld = askEngine();
  await pass(fixture, ORDER_ARRIVES_MS);
  t.is(engineOf(withheld), undefined, 'it does not answer');
  engine.reachable = true;
  await pass(fixture, SILENT_MS);
  const next = askEngine();
  await pass(fixture, ORDER_ARRIVES_MS);
  t.is(engineOf(next), 'e1');
});
