import { Random, VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import { PromptBacklog } from '../src/prompt-backlog.js';
import { newPoolSpeed } from '../src/prefill-speed.js';
import { SimulatedPrefill } from './simulated-prefill.js';

let nextId = 0;

/** Sends prompts of different lengths at about 0.7 of the engine's capacity. */
async function runLoad(
  clock: VirtualClock,
  backlog: PromptBacklog,
  prefill: SimulatedPrefill,
  forMs: number,
): Promise<void> {
  const random = new Random(7);
  const untilMs = clock.now() + forMs;
  while (clock.now() < untilMs) {
    const tokens = 500 + random.integer(6000);
    nextId += 1;
    const id = `p${nextId}`;
    backlog.add(id, tokens, clock.now());
    prefill.process(tokens, () => backlog.recordProcessed(id, clock.now()));
    await clock.runUntil(clock.now() + (tokens * prefill.msPerToken) / 0.7);
  }
}

for (const msPerToken of [0.008, 0.026, 0.055, 0.2]) {
  test(`a prefill speed of ${msPerToken} ms per token is learnt after some prompts`, async (t) => {
    const clock = new VirtualClock();
    const backlog = new PromptBacklog(undefined);
    await runLoad(clock, backlog, new SimulatedPrefill(clock, msPerToken), 8000);
    t.true(backlog.speed.msPerToken > msPerToken * 0.7, `${backlog.speed.msPerToken}`);
    t.true(backlog.speed.msPerToken < msPerToken * 1.4, `${backlog.speed.msPerToken}`);
  });
}

test('an engine that is five times slower for a while is recognized, and so is its recovery', async (t) => {
  const clock = new VirtualClock();
  const backlog = new PromptBacklog(undefined);
  const prefill = new SimulatedPrefill(clock, 0.03);
  await runLoad(clock, backlog, prefill, 6000);
  prefill.msPerToken = 0.15;
  await runLoad(clock, backlog, prefill, 7500);
  t.true(backlog.speed.msPerToken > 0.1, `${backlog.speed.msPerToken}`);
  prefill.msPerToken = 0.03;
  await runLoad(clock, backlog, prefill, 5000);
  t.true(backlog.speed.msPerToken < 0.05, `${backlog.speed.msPerToken}`);
});

test('an engine that has not been observed is assumed to be as fast as the pool', async (t) => {
  const clock = new VirtualClock();
  const poolSpeed = newPoolSpeed();
  await runLoad(clock, new PromptBacklog(poolSpeed), new SimulatedPrefill(clock, 0.012), 6000);
  t.true(Math.abs(new PromptBacklog(poolSpeed).speed.msPerToken - 0.012) < 0.005);
});

test('a backlog ends with its prompts, whatever speed was estimated', async (t) => {
  const clock = new VirtualClock();
  const backlog = new PromptBacklog(undefined);
  for (const id of ['a', 'b', 'c']) backlog.add(id, 10_000, clock.now());
  t.true(backlog.remainingMs(clock.now()) > 1000, 'by the initial estimate');
  await clock.runUntil(100);
  for (const id of ['a', 'b']) backlog.recordProcessed(id, clock.now());
  backlog.drop('c');
  t.is(backlog.remainingMs(clock.now()), 0);
  t.is(backlog.tokens, 0);
});

test('the longer an engine returns nothing, the slower it is assumed to be', async (t) => {
  const clock = new VirtualClock();
  const backlog = new PromptBacklog(undefined);
  backlog.add('a', 4000, clock.now());
  const firstMs = backlog.remainingMs(clock.now());
  await clock.runUntil(firstMs * 3);
  t.true(backlog.remainingMs(clock.now()) > firstMs * 2);
});
