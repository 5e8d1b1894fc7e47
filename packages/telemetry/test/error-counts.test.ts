import { VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import { Telemetry } from '../src/index.js';

test('events of level error are counted by name, and each is taken once', (t) => {
  const telemetry = new Telemetry({ processName: 'n1', clock: new VirtualClock() });
  for (const subject of ['a', 'b']) telemetry.event('error', 'task.failed', subject);
  telemetry.event('error', 'endpoint.failed', 'a');
  telemetry.event('warn', 'peer.unreadable', 'a');
  t.deepEqual(
    [...telemetry.takeErrorCounts()],
    [
      ['task.failed', 2],
      ['endpoint.failed', 1],
    ],
  );
  t.is(telemetry.takeErrorCounts().size, 0);
});
