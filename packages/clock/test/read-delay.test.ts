/** How long input may have lain unread, as far as a process can tell. */
import test from 'ava';
import { HostClock, ReadDelay, VirtualClock } from '../src/index.js';

const PERIOD_MS = 100;
const SETTLE_MS = 500;

function start(): { base: VirtualClock; clock: HostClock; delay: ReadDelay } {
  const base = new VirtualClock();
  const clock = new HostClock(base);
  return { base, clock, delay: new ReadDelay(clock, PERIOD_MS, SETTLE_MS) };
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

test('a stall that follows another one continues it', async (t) => {
  const { base, clock, delay } = start();
  await base.runUntil(1050);
  await stall(base, clock, 2000);
  await base.runUntil(2210);
  await stall(base, clock, 2700);
  t.is(delay.maxMs, 1700);
  delay.stop();
});
