import test from 'ava';
import { SuspendableClock, VirtualClock } from '../src/index.js';

test('monotonic time and timers stop while a machine is suspended, the wall clock does not', async (t) => {
  const base = new VirtualClock();
  const clock = new SuspendableClock(base);
  const wallMs = clock.wallTime();
  const ranAtMs: number[] = [];
  clock.setTimer(100, () => ranAtMs.push(base.now()));
  clock.setTimer(300, () => ranAtMs.push(base.now()));
  await base.runUntil(50);
  clock.suspend();
  await base.runUntil(5050);
  t.is(clock.now(), 50);
  t.deepEqual(ranAtMs, []);
  clock.resume();
  await base.runUntil(6000);
  t.deepEqual(ranAtMs, [5100, 5300]);
  t.is(clock.now(), 1000);
  t.is(clock.wallTime() - wallMs, 6000);
});
