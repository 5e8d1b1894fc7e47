import { VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import { LimitedEvents } from '../src/limited-events.js';

test('of the events of one name and subject, one a second is logged, with the number of those left out', async (t) => {
  const clock = new VirtualClock();
  const lines: string[] = [];
  const event = (_: string, name: string, subject: string, fields: Record<string, unknown> = {}): number =>
    lines.push(`${name} ${subject} ${String(fields['unlogged'])}`);
  const limited = new LimitedEvents({ event }, clock);
  for (let count = 0; count < 3; count += 1) limited.event('error', 'peer.method-failed', 'a', {});
  limited.event('error', 'peer.method-failed', 'b', {});
  await clock.runUntil(clock.now() + 1000);
  limited.event('error', 'peer.method-failed', 'a', {});
  t.deepEqual(lines, [
    'peer.method-failed a undefined',
    'peer.method-failed b undefined',
    'peer.method-failed a 2',
  ]);
});
