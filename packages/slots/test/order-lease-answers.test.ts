/** What order leases conclude from the times at which reports were asked for and answered. */
import { VirtualClock } from '@canvasridge/clock';
import { Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import { DEFAULT_SLOT_TIMING, OrderLease, type OrderLeaseOptions, type OrderSubject } from '../src/index.js';
import { LEASE_MS, MODEL, SimulatedControl, SimulatedEngine } from './simulated-engines.js';

const TIMING = { ...DEFAULT_SLOT_TIMING, leaseMs: LEASE_MS };
const WHOLE_LEASE_MS = LEASE_MS + TIMING.leaseMarginMs;
const SLOW_ANSWER_MS = 450;

const load = (adapter: string): OrderSubject => ({ action: 'load', model: MODEL, adapter });

/** Reports show the state at the moment of their answer, which takes `answerMs`. */
class SlowControl extends SimulatedControl {
  answerMs = 4;
  readonly #clock: VirtualClock;
  readonly #engine: SimulatedEngine;

  constructor(clock: VirtualClock, engine: SimulatedEngine) {
    super([engine]);
    this.#clock = clock;
    this.#engine = engine;
  }

  override async report(): ReturnType<SimulatedControl['report']> {
    await this.#clock.sleep(this.answerMs);
    return { orderCount: this.#engine.appliedOrders.length, busy: false, models: [], pending: [] };
  }
}

function newLease(
  clock: VirtualClock,
  engine: SimulatedEngine,
  options: Partial<OrderLeaseOptions> = {},
): OrderLease {
  return new OrderLease({
    backend: engine.description,
    control: new SimulatedControl([engine]),
    clock,
    fleetClock: clock,
    timing: TIMING,
    holder: { name: 'next', number: 1 },
    telemetry: new Telemetry({ processName: 'test', clock }),
    mayOrder: () => true,
    term: () => 1,
    mayObserve: () => true,
    mayTakeAfterLease: () => true,
    onForeignOrders: () => undefined,
    mayTakeUnused: () => false,
    mayTakeAtOnce: () => false,
    onReport: () => undefined,
    ...options,
  });
}

function orderOfOther(engine: SimulatedEngine, fence: number): void {
  const expectedCount = engine.appliedOrders.length;
  void engine.order({ ...load('other'), expectedCount, holder: 'former', fence });
}

// Guards against a lease that starts when its first report was asked for, although the answer shows a later order.
test('an order that a slow first report already shows keeps the next holder away for a whole lease', async (t) => {
  const clock = new VirtualClock();
  const engine = new SimulatedEngine(clock, 'e');
  const control = new SlowControl(clock, engine);
  control.answerMs = SLOW_ANSWER_MS;
  const lease = newLease(clock, engine, { control });
  await clock.runUntil(SLOW_ANSWER_MS - 10);
  orderOfOther(engine, 1);
  await clock.runUntil(SLOW_ANSWER_MS + 5);
  control.answerMs = 4;
  while (!lease.held && clock.now() < 10_000) await clock.runUntil(clock.now() + 10);
  t.true(lease.held);
  void lease.order(load('x'));
  await clock.runUntil(clock.now() + 100);
  t.is(engine.appliedOrders.length, 2);
  t.deepEqual(engine.violations, []);
});

// Guards against the same when a holder notices by a slow report that another node has ordered.
test('a holder that notices a foreign order by a slow report waits a whole lease from the answer', async (t) => {
  const clock = new VirtualClock();
  const engine = new SimulatedEngine(clock, 'e');
  const control = new SlowControl(clock, engine);
  const lease = newLease(clock, engine, { control });
  await clock.runUntil(8000);
  t.true(lease.held);
  control.answerMs = SLOW_ANSWER_MS;
  const first = lease.order(load('x'));
  await clock.runUntil(8000 + SLOW_ANSWER_MS - 10);
  orderOfOther(engine, 1);
  const orderedMs = clock.now();
  await clock.runUntil(8000 + SLOW_ANSWER_MS + 1);
  control.answerMs = 4;
  t.deepEqual(await first, { kind: 'not-held' });
  while (!lease.held && clock.now() < 20_000) await clock.runUntil(clock.now() + 10);
  t.true(lease.held);
  t.true(clock.now() - orderedMs >= WHOLE_LEASE_MS, `${clock.now() - orderedMs}`);
});

// Guards against an observation that outlives the reset of its lease by a pause that mayOrder() finds.
test('a pause that is found while a report is judged discards what was observed before', async (t) => {
  const clock = new VirtualClock();
  const engine = new SimulatedEngine(clock, 'e');
  const pauseMs = 5000;
  let hasPaused = false;
  const lease: OrderLease = newLease(clock, engine, {
    mayTakeAfterLease: () => clock.now() >= pauseMs,
    mayOrder: () => {
      if (hasPaused || clock.now() < pauseMs) return true;
      hasPaused = true;
      lease.reset('process was paused');
      return false;
    },
  });
  await clock.runUntil(pauseMs + WHOLE_LEASE_MS);
  t.true(hasPaused);
  t.false(lease.held);
  await clock.runUntil(pauseMs + 2 * WHOLE_LEASE_MS);
  t.true(lease.held);
});
