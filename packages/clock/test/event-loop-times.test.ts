import test from 'ava';
import { HostClock, EventLoopTimes, VirtualClock } from '../src/index.js';

const PERIOD_MS = 50;

test('data arrived at most two intervals ago if the process is not held up', async (t) => {
  const clock = new VirtualClock();
  const times = new EventLoopTimes(clock, PERIOD_MS);
  await clock.runUntil(1020);
  t.is(times.arrivedAfterMs, 950);
  times.stop();
});

test('data read after the process was held up may have arrived since then', async (t) => {
  const base = new VirtualClock();
  const clock = new HostClock(base);
  const times = new EventLoopTimes(clock, PERIOD_MS);
  await base.runUntil(1020);
  clock.pause();
  await base.runUntil(3000);
  clock.resume();
  t.is(
    times.arrivedAfterMs,
    1000,
    'the timer that became due meanwhile has run, but the data that arrived is not read yet',
  );
  await base.runUntil(3120);
  t.is(times.arrivedAfterMs, 3050);
  times.stop();
});
