import { socketAddress } from '@canvasridge/addresses';
import test from 'ava';
import { EnginePace } from '../src/engine-pace.js';
import { newPoolSpeed } from '../src/prefill-speed.js';
import { EngineSlots } from '../src/engine-slots.js';
import { PROFILE } from './simulated-engines.js';
import { PaceLearner } from '../src/pace-learner.js';
import { StreamKinds } from '../src/stream-kinds.js';

/** Observations of this expected length, one after the other, during a span. Returns the end of the span. */
function observe(pace: EnginePace, ratio: number, fromMs: number, forMs: number): number {
  for (let nowMs = fromMs; nowMs < fromMs + forMs; nowMs += 100) pace.observe(50 * ratio, 50, nowMs);
  return fromMs + forMs;
}

test('a slow moment is noticed within ten answers', (t) => {
  const pace = new EnginePace();
  const nowMs = observe(pace, 5, observe(pace, 1, 0, 10_000), 1000);
  t.true(pace.momentary(nowMs) > 2.5);
});

// Guards against an engine that stays avoided after a moment in which it was slow.
test('three slow seconds are forgiven as fast as they were noticed, also without requests', (t) => {
  const pace = new EnginePace();
  const slowUntilMs = observe(pace, 5, observe(pace, 1, 0, 20_000), 3000);
  t.true(pace.momentary(observe(pace, 1, slowUntilMs, 2000)) < 1.6);
  t.true(pace.momentary(slowUntilMs + 60_000) < 1.3);
  t.true(pace.lasting(slowUntilMs + 60_000) < 1.3);
});

test('a lasting pace is learnt and outlives a pause of some seconds', (t) => {
  const pace = new EnginePace();
  const nowMs = observe(pace, 1.7, 0, 20_000);
  t.true(Math.abs(pace.lasting(nowMs + 5000) - 1.7) < 0.15);
});

test('an engine that was not observed has the pace of its pool, and useless observations change nothing', (t) => {
  const pace = new EnginePace();
  pace.observe(Infinity, 50, 0);
  pace.observe(NaN, 50, 0);
  pace.observe(50, 0, 0);
  t.is(pace.lasting(1000), 1);
  t.is(pace.momentary(1000), 1);
});

// Guards against an engine that is taken for its predecessor after it started again under another id.
test('an engine with a new id starts from the pace of the pool', (t) => {
  const description = {
    service: 'llm',
    address: socketAddress('10.0.0.1:1'),
    zone: '',
    state: 'ready',
    slots: 16,
    models: [],
  } as const;
  const known = new EngineSlots({ id: 'e#1', ...description }, PROFILE, newPoolSpeed());
  observe(known.pace, 3, 0, 5000);
  const restarted = new EngineSlots({ id: 'e#2', ...description }, PROFILE, newPoolSpeed());
  t.true(known.pace.lasting(5000) > 2);
  t.is(restarted.pace.lasting(5000), 1);
});

test('streams are compared within their kind', (t) => {
  const learner = new PaceLearner(new StreamKinds());
  const slots = new EngineSlots(
    {
      id: 'e1',
      service: 'llm',
      address: socketAddress('10.0.0.1:1'),
      zone: '',
      state: 'ready',
      slots: 16,
      models: [],
    },
    PROFILE,
    newPoolSpeed(),
  );
  for (let nowMs = 0; nowMs < 10_000; nowMs += 100) {
    learner.recordStream(slots, 'short events', { events: 10, spanMs: 100 }, nowMs);
    learner.recordStream(slots, 'long events', { events: 10, spanMs: 1000 }, nowMs);
  }
  t.true(Math.abs(slots.pace.lasting(10_000) - 1) < 0.01);
});
