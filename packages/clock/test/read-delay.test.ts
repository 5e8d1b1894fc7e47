/** How long input may have lain unread, as far as a process can tell. */
import test from 'ava';
import { HostClock, ReadDelay, VirtualClock } from '../src/index.js';

const TIMING = { periodMs: 100, minStallMs: 400, settleMs: 500 };

function start(): { base: VirtualClock; clock: HostClock; delay: ReadDelay } {
  const base = new VirtualClock();
  const clock = new HostClock(base);
  return { base, clock, delay: new ReadDelay(clock, TIMING) };
}

async function stall(base: VirtualClock, clock: HostClock, untilMs: number): Promise<void> {
  clock.pause();
  await base.runUntil(untilMs);
  clock.resume();
}

test('input is new in a process that runs its timers on time', async (t) => {
  const { base, delay } = start();
  for (let nowMs = 0; nowMs < 2000; nowMs += 70) {
    await base.runUntil(nowMs);
    t.is(delay.maxMs, 0);
  }
  delay.stop();
});

test('input that is read after a stall may be as old as the stall, until the connections that waited are accepted', async (t) => {
  const { base, clock, delay } = start();
  await base.runUntil(1050);
  await stall(base, clock, 3000);
  t.is(delay.maxMs, 2000, 'the timer ran last at 1000');
  await base.runUntil(3400);
  t.is(delay.maxMs, 2400);
  await base.runUntil(3600);
  t.is(delay.maxMs, 0);
  delay.stop();
});

test('a stall counts for as long if another one follows at once', async (t) => {
  const { base, clock, delay } = start();
  await base.runUntil(1050);
  await stall(base, clock, 2000);
  await base.runUntil(2210);
  await stall(base, clock, 3000);
  t.is(delay.maxMs, 2000);
  await base.runUntil(3350);
  t.is(delay.maxMs, 1150, 'the first stall is over after half a second without one');
  await base.runUntil(3600);
  t.is(delay.maxMs, 0);
  delay.stop();
});

// Guards against a bound that grows for as long as a process is held up again and again.
test('many stalls do not add up', async (t) => {
  const { base, clock, delay } = start();
  for (let nowMs = 1000; nowMs <= 30_000; nowMs += 1000) {
    await base.runUntil(nowMs);
    await stall(base, clock, nowMs + 550);
    t.true(delay.maxMs < 2000, `${delay.maxMs} after ${nowMs} ms`);
  }
  delay.stop();
});

// Guards against taking a process whose timers are a little late, as on a busy node, for one that is held up.
test('a timer that is late by less than a stall shows none', async (t) => {
  const { base, clock, delay } = start();
  for (let nowMs = 1000; nowMs <= 5000; nowMs += 400) {
    await base.runUntil(nowMs);
    await stall(base, clock, nowMs + 300);
    t.is(delay.maxMs, 0);
  }
  delay.stop();
});
