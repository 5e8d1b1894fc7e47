/** Reports of engines that fail by an error: what waits for them goes on. */
import { VirtualClock } from '@canvasridge/clock';
import { Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import { AnswerCheck } from '../src/answer-check.js';
import { DEFAULT_SLOT_TIMING, OrderLease, type EngineControl, type EngineReport } from '../src/index.js';
import { LEASE_MS, SimulatedControl, SimulatedEngine } from './simulated-engines.js';

const FAILURE = new Error('report failed');

/** The first reports fail. */
class FailingControl extends SimulatedControl implements EngineControl {
  failures = 2;
  override report(...parameters: Parameters<EngineControl['report']>): Promise<EngineReport | undefined> {
    if ((this.failures -= 1) >= 0) return Promise.reject(FAILURE);
    return super.report(...parameters);
  }
}

// The task of the lease ended with its first error, and the process with it.
test('a lease is taken after reports that failed', async (t) => {
  const clock = new VirtualClock();
  const engine = new SimulatedEngine(clock, 'e');
  const lease = new OrderLease({
    backend: engine.description,
    control: new FailingControl([engine]),
    clock,
    fleetClock: clock,
    timing: { ...DEFAULT_SLOT_TIMING, leaseMs: LEASE_MS },
    holder: { name: 'node-1', number: 1 },
    telemetry: new Telemetry({ processName: 'test', clock }),
    mayOrder: () => true,
    term: () => 1,
    mayObserve: () => true,
    mayTakeAfterLease: () => true,
    onForeignOrders: () => undefined,
    mayTakeUnused: () => false,
    mayTakeAtOnce: () => false,
    onReport: () => undefined,
  });
  await clock.runUntil(LEASE_MS + 10_000);
  t.true(lease.held);
  lease.close();
});

// A question that failed was never followed by another one, however often requests failed at the engine.
test('an engine is asked again after a question that failed', async (t) => {
  const clock = new VirtualClock();
  let questions = 0;
  const check = new AnswerCheck({
    clock,
    after: (delayMs, action) => void clock.setTimer(delayMs, action),
    ask: () => ((questions += 1) === 1 ? Promise.reject(FAILURE) : Promise.resolve(false)),
    isListed: () => true,
    onChange: () => undefined,
    telemetry: new Telemetry({ processName: 'test', clock }),
  });
  check.requestFailed();
  await clock.runUntil(1);
  t.true(check.isAnswering);
  check.requestFailed();
  await clock.runUntil(2);
  t.is(questions, 2);
  t.false(check.isAnswering);
});
