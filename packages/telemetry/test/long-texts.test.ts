import { VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import { EventLogger, Telemetry } from '../src/index.js';

const LONG = 'x'.repeat(60_000);

// The timeline kept ids of requests, which clients choose, at full length: some thousand of them filled the heap.
test('what callers chose is cut in log lines and in the timeline', (t) => {
  const lines: string[] = [];
  const logger = new EventLogger('p', 'info', (line) => lines.push(line));
  const telemetry = new Telemetry({ processName: 'p', clock: new VirtualClock(), logger });
  telemetry.event('info', 'request.finished', LONG, { adapter: LONG, status: 404, gone: undefined });
  t.true((lines[0]?.length ?? 0) < 5000);
  t.regex(lines[0] ?? '', /status=404/);
  const [entry] = telemetry.ring.dump().events;
  t.true((entry?.subject ?? LONG).length < 600);
  t.true((entry?.detail ?? LONG).length < 600);
});
