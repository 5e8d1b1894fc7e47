import { Random, VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import { type SlotPool, WaitingList, type SlotDecision, type UseOutcome } from '../src/index.js';
import { newPool } from './new-pool.js';
import { newRequest as request } from './new-request.js';
import { SimulatedPrefill } from './simulated-prefill.js';
import { LEASE_MS, PROFILE, SimulatedEngine } from './simulated-engines.js';

/** By this time a new pool holds the order leases of its engines. */
const HELD_MS = 5000;
/** Time that engines take to process the prompt of a usual request. */
const PREFILL_MS = 50;

/** Occupies all adapter slots of one engine with running requests. */
async function fillSlots(clock: VirtualClock, pool: SlotPool): Promise<void> {
  for (const adapter of ['a', 'b', 'c', 'd', 'e', 'f']) {
    pool.acquire(request(adapter, { timeoutMs: 60_000, objectiveMs: 5000 }), () => undefined);
  }
  await clock.runUntil(HELD_MS + 900);
}

test('a request waits until its adapter is loaded and then gets the engine that has it', async (t) => {
  const clock = new VirtualClock();
  const engines = [new SimulatedEngine(clock, 'e1'), new SimulatedEngine(clock, 'e2')];
  const pool = newPool(clock, engines);
  await clock.runUntil(HELD_MS);
  let decision: SlotDecision | undefined;
  pool.acquire(request('x'), (given) => {
    decision = given;
  });
  t.is(decision, undefined);
  await clock.runUntil(HELD_MS + 400);
  if (decision?.kind !== 'granted') return t.fail('not granted');
  const { backendId } = decision;
  t.true(engines.find((engine) => engine.description.id === backendId)?.serves('x'));
});

test('an adapter in use is never unloaded, and no engine is ordered to hold too many adapters', async (t) => {
  const clock = new VirtualClock();
  const engine = new SimulatedEngine(clock, 'e1');
  const pool = newPool(clock, [engine]);
  await clock.runUntil(HELD_MS);
  const granted: string[] = [];
  for (const adapter of ['a', 'b', 'c', 'd', 'e', 'f', 'g']) {
    pool.acquire(request(adapter, { objectiveMs: 5000 }), (decision) => {
      if (decision.kind === 'granted') granted.push(decision.requestId);
    });
  }
  await clock.runUntil(HELD_MS + 900);
  t.is(granted.length, PROFILE.adapterSlots);
  t.is(engine.appliedOrders.filter(({ order }) => order.action === 'unload').length, 0);
  pool.release(granted[0] ?? '', 'served');
  await clock.runUntil(HELD_MS + 1500);
  t.is(engine.appliedOrders.filter(({ order }) => order.action === 'unload').length, 1);
  t.deepEqual(engine.violations, []);
});

test('a request that can not get a slot in time is refused early, with a retry delay', async (t) => {
  const clock = new VirtualClock();
  const pool = newPool(clock, [new SimulatedEngine(clock, 'e1')]);
  await clock.runUntil(HELD_MS);
  await fillSlots(clock, pool);
  const refusals: { decision: SlotDecision; atMs: number }[] = [];
  for (let index = 0; index < 20; index += 1) {
    pool.acquire(request(`x${index}`), (decision) => refusals.push({ decision, atMs: clock.now() }));
  }
  await clock.runUntil(HELD_MS + 1200);
  t.true(refusals.length > 0);
  for (const { decision } of refusals) {
    if (decision.kind !== 'refused') return t.fail('granted');
    t.true(decision.retryAfterMs > 0);
  }
});

test('a new adapter version is loaded in place of the old one before the next request is granted', async (t) => {
  const clock = new VirtualClock();
  const engine = new SimulatedEngine(clock, 'e1');
  const versions = new Map<string, number>();
  const pool = newPool(clock, [engine], 1, versions);
  await clock.runUntil(HELD_MS);
  let first = '';
  pool.acquire(request('x'), (decision) => {
    first = decision.requestId;
  });
  await clock.runUntil(HELD_MS + 500);
  pool.release(first, 'served');
  versions.set('x', 2);
  let granted = false;
  pool.acquire(request('x'), (decision) => {
    granted = decision.kind === 'granted';
  });
  t.false(granted);
  await clock.runUntil(HELD_MS + 1200);
  t.true(granted);
  t.deepEqual(
    engine.appliedOrders.map(({ order }) => order.action),
    ['load', 'unload', 'load'],
  );
});

// Guards against a time for old versions that begins with the first request that meets one.
test('an outdated adapter in use is granted only as long as its version may serve', async (t) => {
  const clock = new VirtualClock();
  const engines = ['e1', 'e2'].map((id) => new SimulatedEngine(clock, id));
  const versions = new Map<string, number>();
  let required = 0;
  const pool = newPool(clock, engines, 1, versions, undefined, undefined, () => required);
  await clock.runUntil(HELD_MS);
  const engineOf = async (): Promise<string> => {
    let engine = 'none';
    pool.acquire(request('x'), (decision) => {
      engine = decision.kind === 'granted' ? decision.backendId : decision.reason;
    });
    await clock.runUntil(clock.now() + 500);
    return engine;
  };
  const first = await engineOf();
  versions.set('x', 2);
  await clock.runUntil(clock.now() + 2000);
  t.is(await engineOf(), first, 'no engine has the newer version yet');
  required = 2;
  t.not(await engineOf(), first);
});

// Without it the request waited for the engine that could not load the newer version.
test('a newer version is loaded on another engine at once while the old one is in use', async (t) => {
  const clock = new VirtualClock();
  const engines = ['e1', 'e2'].map((id) => new SimulatedEngine(clock, id));
  const versions = new Map<string, number>();
  const pool = newPool(
    clock,
    engines,
    1,
    versions,
    undefined,
    undefined,
    (adapter) => versions.get(adapter) ?? 0,
  );
  await clock.runUntil(HELD_MS);
  const granted: string[] = [];
  const ask = (): void =>
    pool.acquire(request('x'), (decision) => {
      if (decision.kind === 'granted') granted.push(decision.backendId);
    });
  ask();
  await clock.runUntil(clock.now() + 500);
  versions.set('x', 2);
  ask();
  await clock.runUntil(clock.now() + 500);
  t.deepEqual([...granted].sort(), ['e1', 'e2']);
});

test('an adapter that a granted request did not find is granted again a little later', async (t) => {
  const clock = new VirtualClock();
  const engine = new SimulatedEngine(clock, 'e1');
  const pool = newPool(clock, [engine]);
  await clock.runUntil(HELD_MS);
  let first = '';
  pool.acquire(request('x'), (decision) => {
    first = decision.requestId;
  });
  await clock.runUntil(HELD_MS + 400);
  pool.release(first, 'not-present');
  let granted = false;
  pool.acquire(request('x'), (decision) => {
    granted = decision.kind === 'granted';
  });
  t.false(granted);
  await clock.runUntil(HELD_MS + 500);
  t.true(granted);
});

test('a request that can not start in time is refused at once, and its retry with more time waits', async (t) => {
  const clock = new VirtualClock();
  const pool = newPool(clock, [new SimulatedEngine(clock, 'e1')]);
  await clock.runUntil(HELD_MS);
  await fillSlots(clock, pool);
  const kinds: string[] = [];
  const ask = (startWithinMs: number): void =>
    pool.acquire(request('x', { promptKey: 'p:1', objectiveMs: 300, startWithinMs }), (decision) =>
      kinds.push(decision.kind),
    );
  ask(250);
  await clock.runUntil(clock.now() + 100);
  t.deepEqual(kinds, ['refused']);
  ask(5000);
  await clock.runUntil(clock.now() + 1300);
  t.deepEqual(kinds, ['refused'], 'it waits');
});

test('an adapter that a report shows as loading serves the requests that wait for it', async (t) => {
  const clock = new VirtualClock();
  const engine = new SimulatedEngine(clock, 'e1');
  const pool = newPool(clock, [engine]);
  await clock.runUntil(HELD_MS);
  engine.losesAnswers = true;
  const granted: string[] = [];
  for (const adapter of ['a', 'b', 'c']) {
    pool.acquire(request(adapter), (decision) => {
      if (decision.kind !== 'granted') return;
      granted.push(decision.requestId);
      clock.setTimer(PREFILL_MS, () => pool.started(decision.requestId));
    });
  }
  await clock.runUntil(HELD_MS + 100);
  engine.losesAnswers = false;
  await clock.runUntil(HELD_MS + 2500);
  t.is(granted.length, 3);
  t.deepEqual(engine.violations, []);
});

test('an engine is never ordered to load more adapters at once than it accepts', async (t) => {
  const clock = new VirtualClock();
  const engine = new SimulatedEngine(clock, 'e1');
  const pool = newPool(clock, [engine]);
  await clock.runUntil(HELD_MS);
  let served = 0;
  const ask = (adapter: string): void => {
    const asked = request(adapter, { timeoutMs: 20_000, objectiveMs: 20_000 });
    pool.acquire(asked, (decision) => {
      if (decision.kind !== 'granted') return;
      // Like a real engine, it only runs requests for adapters it has. Otherwise the request is made again.
      const isThere = engine.serves(adapter);
      if (isThere) served += 1;
      clock.setTimer(isThere ? 30 : 5, () => {
        pool.release(asked.id, isThere ? 'served' : 'not-present');
        if (!isThere) ask(adapter);
      });
    });
  };
  for (let index = 0; index < 30; index += 1) ask(`x${index}`);
  await clock.runUntil(HELD_MS + 10_000);
  t.is(engine.conflicts, 0);
  t.is(served, 30);
  t.true(
    engine.appliedOrders.length >= 54,
    `orders to load all adapters in turn: ${engine.appliedOrders.length}`,
  );
});

/** Runs a pool under random load and faults, and returns the violations that the engines recorded. */
async function soak(seed: number): Promise<readonly string[]> {
  const clock = new VirtualClock();
  const random = new Random(seed);
  const engines = [1, 2, 3].map((number) => new SimulatedEngine(clock, `e${number}`));
  let pool = newPool(clock, engines, 1);
  let leader = 1;
  const outcomes: readonly UseOutcome[] = ['served', 'served', 'served', 'failed', 'cancelled'];
  for (let atMs = HELD_MS; atMs < 60_000; atMs += 20 + random.integer(120)) {
    await clock.runUntil(atMs);
    const adapter = `a${Math.floor(random.exponential(6))}`;
    const current = pool;
    const ask = request(adapter);
    current.acquire(ask, (decision) => {
      if (decision.kind !== 'granted') return;
      const engine = engines.find(({ description }) => description.id === decision.backendId);
      const outcome = engine?.serves(adapter) === true ? (random.pick(outcomes) ?? 'served') : 'not-present';
      clock.setTimer(random.exponential(400), () => current.release(ask.id, outcome));
    });
    const engine = random.pick(engines);
    if (engine !== undefined && random.next() < 0.02) engine.losesAnswers = !engine.losesAnswers;
    if (random.next() < 0.004) {
      // The leader stops without notice, and another node replaces it at once.
      pool.close();
      leader += 1;
      pool = newPool(clock, engines, leader % 7);
    }
  }
  pool.close();
  return engines.flatMap((engine) => engine.violations);
}

for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
  test(`no holder breaks the rules under lost answers and changing leaders, seed ${seed}`, async (t) => {
    t.deepEqual(await soak(seed), []);
  });
}

test('an adapter in high demand is loaded on a second engine before prompts queue up on the first one', async (t) => {
  const clock = new VirtualClock();
  const engines = [new SimulatedEngine(clock, 'e1'), new SimulatedEngine(clock, 'e2')];
  const pool = newPool(clock, engines);
  await clock.runUntil(HELD_MS);
  const granted: string[] = [];
  const prefillByEngine = new Map(
    engines.map(({ description }) => [description.id, new SimulatedPrefill(clock, 0.05)]),
  );
  const ask = (): void =>
    pool.acquire(request('x', { promptTokens: 3000 }), (decision) => {
      if (decision.kind !== 'granted') return;
      granted.push(decision.backendId);
      prefillByEngine.get(decision.backendId)?.process(3000, () => pool.started(decision.requestId));
    });
  for (let index = 0; index < 12; index += 1) ask();
  await clock.runUntil(HELD_MS + 700);
  t.deepEqual([...new Set(granted)].sort(), ['e1', 'e2']);
  await clock.runUntil(HELD_MS + 3000);
  t.is(granted.length, 12);
});

test('a request of lower priority is not overtaken by more urgent ones that arrive much later', (t) => {
  const list = new WaitingList(() => 0);
  const add = (id: string, arrivedMs: number, priority: number): void =>
    list.add(
      {
        request: request('x', { id, priority }),
        arrivedMs,
        returned: false,
        decide: () => undefined,
        obstacle: 'none',
      },
      arrivedMs,
    );
  add('later-urgent', 400, 0);
  add('earlier', 100, 2);
  add('together-urgent', 100, 0);
  t.deepEqual(
    list.inOrder(450).map(({ request: { id } }) => id),
    ['together-urgent', 'earlier', 'later-urgent'],
  );
});

test('an engine that leaves the list briefly gets no work meanwhile and is still held when it is back', async (t) => {
  const clock = new VirtualClock();
  const engine = new SimulatedEngine(clock, 'e1');
  const pool = newPool(clock, [engine]);
  await clock.runUntil(HELD_MS);
  t.is(pool.describe().held, 1);
  pool.setEngines([], PROFILE);
  let granted = false;
  pool.acquire(request('x'), (decision) => {
    granted = decision.kind === 'granted';
  });
  await clock.runUntil(HELD_MS + 150);
  t.deepEqual([pool.describe().engines, granted, engine.appliedOrders.length], [0, false, 0]);
  pool.setEngines([engine.description], PROFILE);
  t.is(pool.describe().held, 1);
  await clock.runUntil(HELD_MS + 600);
  t.true(granted);
});

test('while no load can be ordered, a request that can wait long enough is served later and another is refused at once', async (t) => {
  const clock = new VirtualClock();
  const pool = newPool(clock, [new SimulatedEngine(clock, 'e1')]);
  await clock.runUntil(500);
  const decisions = new Map<string, { readonly decision: SlotDecision; readonly atMs: number }>();
  const ask = (name: string, startWithinMs: number): void =>
    pool.acquire(request(name, { startWithinMs }), (decision) =>
      decisions.set(name, { decision, atMs: clock.now() }),
    );
  ask('patient', 5000);
  ask('hurried', 1500);
  await clock.runUntil(600);
  t.deepEqual([...decisions.keys()], ['hurried']);
  const { decision } = decisions.get('hurried') ?? {};
  if (decision?.kind !== 'refused') return t.fail('not refused');
  t.true(decision.retryAfterMs > 2000 && decision.retryAfterMs < LEASE_MS + 1000);
  await clock.runUntil(500 + LEASE_MS + 1000);
  t.is(decisions.get('patient')?.decision.kind, 'granted');
});

test('a waiting request is refused before its client gives up, whatever its objective and timeout', async (t) => {
  const clock = new VirtualClock();
  const pool = newPool(clock, [new SimulatedEngine(clock, 'e1')]);
  await clock.runUntil(HELD_MS);
  await fillSlots(clock, pool);
  const refusedMs: number[] = [];
  const ask = request('x', { objectiveMs: 60_000, timeoutMs: 60_000, startWithinMs: 4000 });
  pool.acquire(ask, () => refusedMs.push(clock.now() - HELD_MS - 900));
  await clock.runUntil(HELD_MS + 900 + 4000);
  t.is(refusedMs.length, 1);
  t.true((refusedMs[0] ?? Infinity) < 4000);
});

test('an engine that was busy when its lease was acquired gets loads once it is idle', async (t) => {
  const clock = new VirtualClock();
  const engine = new SimulatedEngine(clock, 'e1');
  engine.busyUntilMs = 4000;
  const pool = newPool(clock, [engine]);
  await clock.runUntil(3900);
  t.is(pool.describe().held, 1);
  t.is(pool.describe().busy, 1);
  await clock.runUntil(8000);
  let granted = false;
  pool.acquire(request('x'), (decision) => {
    granted = decision.kind === 'granted';
  });
  await clock.runUntil(8600);
  t.true(granted);
});

test('while most engines fail, none of them is excluded from loads', async (t) => {
  const clock = new VirtualClock();
  const engines = ['e1', 'e2', 'e3'].map((id) => new SimulatedEngine(clock, id));
  const pool = newPool(clock, engines);
  await clock.runUntil(HELD_MS);
  const failAll = (adapters: readonly string[]): void => {
    for (const adapter of adapters) {
      pool.acquire(request(adapter), (decision) => {
        if (decision.kind === 'granted') clock.setTimer(10, () => pool.release(decision.requestId, 'failed'));
      });
    }
  };
  failAll(['a', 'b', 'c', 'd', 'e', 'f']);
  await clock.runUntil(HELD_MS + 500);
  t.is(pool.describe().avoided, 3);
  let granted = false;
  pool.acquire(request('x'), (decision) => {
    granted = decision.kind === 'granted';
  });
  await clock.runUntil(HELD_MS + 900);
  t.true(granted);
});

test('only a first use soon after a load changes the estimated load time', async (t) => {
  const clock = new VirtualClock();
  const pool = newPool(clock, [new SimulatedEngine(clock, 'e1')]);
  await clock.runUntil(HELD_MS);
  const estimateMs = (): number => pool.describe().coldLoadMs;
  const firstMs = estimateMs();
  const waiting = request('a');
  pool.acquire(waiting, () => undefined);
  await clock.runUntil(HELD_MS + 20);
  pool.cancel(waiting.id);
  await clock.runUntil(HELD_MS + 1500);
  const use = (adapter: string): void =>
    pool.acquire(request(adapter), (decision) => {
      if (decision.kind === 'granted') pool.started(decision.requestId);
    });
  use('a');
  t.is(estimateMs(), firstMs, 'it had been loaded for long');
  use('b');
  await clock.runUntil(HELD_MS + 2500);
  t.true(estimateMs() < firstMs);
});
