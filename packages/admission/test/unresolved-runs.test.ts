import { VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import { UnresolvedRuns } from '../src/index.js';

const RUN = { fingerprint: 'f', backendId: 'i1', sentMs: 0 };

test('the runs on a backend are returned once, and those on others are kept', (t) => {
  const runs = new UnresolvedRuns(new VirtualClock());
  runs.record(RUN);
  runs.record({ ...RUN, backendId: 'i2' });
  t.like(runs.take('i1'), [{ fingerprint: 'f', backendId: 'i1' }]);
  t.deepEqual(runs.take('i1'), []);
  t.is(runs.take('i2').length, 1);
});

test('runs that ended long before their backend did are forgotten', async (t) => {
  const clock = new VirtualClock();
  const runs = new UnresolvedRuns(clock);
  runs.record(RUN);
  await clock.runUntil(9000);
  t.deepEqual(runs.take('i1'), []);
});

test('the number of remembered runs is bounded', (t) => {
  const runs = new UnresolvedRuns(new VirtualClock());
  for (let count = 0; count < 1000; count += 1) runs.record({ ...RUN, fingerprint: `f${count}` });
  t.is(runs.take('i1').length, 256);
});
