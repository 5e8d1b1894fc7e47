import { VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import { keepRunning, runInBackground } from '../src/background.js';

function newTelemetry(): { lines: string[]; event: (level: string, name: string, subject: string) => void } {
  const lines: string[] = [];
  return { lines, event: (level, name, subject) => lines.push(`${level} ${name} ${subject}`) };
}

// A probe that rejected while nobody awaited it ended the process.
test('work that fails or throws is logged, and nobody else learns of it', async (t) => {
  const telemetry = newTelemetry();
  runInBackground(telemetry, 'rejects', () => Promise.reject(new Error('x')));
  runInBackground(telemetry, 'throws', () => {
    throw new Error('x');
  });
  runInBackground(telemetry, 'succeeds', () => Promise.resolve());
  await new Promise((resolve) => setImmediate(resolve));
  t.deepEqual(telemetry.lines.toSorted(), ['error task.failed rejects', 'error task.failed throws']);
});

test('a task that fails is started again after a pause, until it returns', async (t) => {
  const clock = new VirtualClock();
  const telemetry = newTelemetry();
  const startsMs: number[] = [];
  keepRunning({ telemetry, clock }, 'loop', () => {
    startsMs.push(clock.now());
    return startsMs.length < 3 ? Promise.reject(new Error('x')) : Promise.resolve();
  });
  await clock.runUntil(clock.now() + 10_000);
  t.deepEqual(
    startsMs.map((atMs) => atMs - (startsMs[0] ?? 0)),
    [0, 1000, 2000],
  );
  t.is(telemetry.lines.length, 2);
});
