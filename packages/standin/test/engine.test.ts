import test from 'ava';
import { VirtualClock } from '@canvasridge/clock';
import {
  DEFAULT_ENGINE_BEHAVIOUR,
  EngineEmulator,
  WeightStoreEmulator,
  type SubmittedRequest,
} from '../src/index.js';

function createEngine(clock: VirtualClock, checksFence = true): EngineEmulator {
  const store = new WeightStoreEmulator({ loadsPerSecond: 2, concurrency: 1, loadMs: 500 }, clock);
  const identity = { id: 'e', base: 'b', slots: 1, maxBatch: 2, checksFence };
  return new EngineEmulator(identity, DEFAULT_ENGINE_BEHAVIOUR, store, clock, 1);
}

function submission(fence: number, requestId = 'r'): SubmittedRequest {
  const model = { base: 'b', adapter: 'a', version: 'v1' };
  return { requestId, model, prompt: 'p', maxTokens: 5, priority: 1, fence };
}

const load = { kind: 'load', adapter: 'a', version: 'v1' } as const;
const unload = { kind: 'unload', adapter: 'a', version: 'v1' } as const;

async function createLoadedEngine(clock: VirtualClock, checksFence = true): Promise<EngineEmulator> {
  const engine = createEngine(clock, checksFence);
  await engine.order(5, { kind: 'claim', holder: 'h', leaseMs: 1000 });
  void engine.order(5, load);
  await clock.runUntil(clock.now() + 1500);
  return engine;
}

test('an engine that checks fences refuses orders and requests with a stale fence', async (t) => {
  const clock = new VirtualClock();
  const engine = await createLoadedEngine(clock);
  t.is((await engine.order(4, unload)).kind, 'stale-fence');
  t.is((await engine.order(5, { kind: 'claim', holder: 'x', leaseMs: 1 })).kind, 'stale-fence');
  t.deepEqual(engine.submit(submission(4)), { kind: 'stale-fence', currentFence: 5 });
  t.is(engine.record.executions.length, 0);
});

test('an engine that does not check fences accepts orders with any fence', async (t) => {
  const engine = await createLoadedEngine(new VirtualClock(), false);
  t.is((await engine.order(1, unload)).kind, 'done');
});

test('a generation produces its tokens and can be resumed after its reader disconnected', async (t) => {
  const clock = new VirtualClock();
  const engine = await createLoadedEngine(clock);
  const sequence = engine.submit(submission(5));
  if ('kind' in sequence) return t.fail(sequence.kind);
  const seen: number[] = [];
  const first = {
    onTokens: (last: number) => seen.push(last),
    onEnd: () => undefined,
    onBroken: () => undefined,
  };
  sequence.attach(first);
  await clock.runUntil(clock.now() + 50);
  engine.detach(sequence, first);
  await clock.runUntil(clock.now() + 500);
  let ended = false;
  engine
    .find('r')
    ?.attach({ onTokens: (last) => seen.push(last), onEnd: () => (ended = true), onBroken: () => undefined });
  t.is(seen.at(-1), 4);
  t.true(ended);
});

test('unloading an adapter that a generation uses is recorded', async (t) => {
  const clock = new VirtualClock();
  const engine = await createLoadedEngine(clock);
  engine.submit(submission(5));
  await engine.order(5, unload);
  t.is(engine.record.unloadedWhileRunning.length, 1);
});

test('a restart drops adapters and fence and breaks running generations', async (t) => {
  const clock = new VirtualClock();
  const engine = await createLoadedEngine(clock);
  const sequence = engine.submit(submission(5));
  engine.restart();
  t.true('state' in sequence && sequence.state === 'broken');
  t.deepEqual(engine.submit(submission(5, 'later')), { kind: 'stale-fence', currentFence: 0 });
  t.deepEqual(engine.report().adapters, []);
});

test('loads beyond the weight store’s rate take longer', async (t) => {
  const clock = new VirtualClock();
  const store = new WeightStoreEmulator({ loadsPerSecond: 2, concurrency: 1, loadMs: 100 }, clock);
  const ended: number[] = [];
  for (let index = 0; index < 3; index += 1) void store.fetch().then(() => ended.push(clock.now()));
  await clock.runUntil(5000);
  t.true((ended[2] ?? 0) >= 1100, `third load ended at ${ended[2] ?? 0}`);
});
