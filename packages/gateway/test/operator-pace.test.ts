import { Random, VirtualClock } from '@canvasridge/clock';
import { EventLogger, Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import { NO_KEY_LEASE, keyLease } from '../src/index.js';
import { operatorPace, silenceBoundMs, silenceNoticedMs } from '../src/cluster/operator-pace.js';
import { PublishedState, type PublishedStateOptions } from '../src/cluster/published-state.js';

const BOUNDS = [
  { applyMs: 2000, contactMs: 3000 },
  { applyMs: 10_000, contactMs: 3000 },
  { applyMs: 500, contactMs: 1000 },
  { applyMs: 1000, contactMs: 300 },
];
/** Time for a new connection and a read on it: a few answers of a usual store. */
const READ_MS = 60;

// Guards against a watch that may wait longer, on a silent connection, than a configuration may take.
test('a silent connection to the store is noticed and replaced within the bounds of a configuration', (t) => {
  for (const bounds of BOUNDS) {
    const noticedMs = silenceNoticedMs(operatorPace(bounds, NO_KEY_LEASE));
    t.true(noticedMs + READ_MS <= silenceBoundMs(bounds), JSON.stringify(bounds));
  }
});

test('a read that falls silent as well leaves time for the next one', (t) => {
  for (const bounds of BOUNDS.slice(0, 3)) {
    const { readTimeoutMs } = operatorPace(bounds, NO_KEY_LEASE);
    t.true(readTimeoutMs + READ_MS <= silenceBoundMs(bounds), JSON.stringify(bounds));
  }
});

test('the bound for withdrawn keys may shorten the watch further, and the watch has a longest time', (t) => {
  const [bounds] = BOUNDS;
  t.is(operatorPace(bounds, keyLease(2000)).watchMs, keyLease(2000).watchMs);
  t.is(operatorPace({ applyMs: 60_000, contactMs: 1 }, NO_KEY_LEASE).watchMs, 5000);
  t.is(operatorPace(undefined, NO_KEY_LEASE).watchMs, 5000);
});

function problemsLogged(bounds: PublishedStateOptions['configurationBounds']): string[] {
  const clock = new VirtualClock();
  const lines: string[] = [];
  const logger = new EventLogger('n1', 'info', (line) => lines.push(line));
  const needed = {
    nodeId: 'n1',
    zone: 'z',
    drainMs: 2000,
    keyLease: NO_KEY_LEASE,
    configurationBounds: bounds,
    clock,
    random: new Random(1),
    telemetry: new Telemetry({ processName: 'n1', clock, logger }),
    fleet: { onNewEra: () => undefined },
  };
  new PublishedState(needed as unknown as PublishedStateOptions);
  return lines;
}

// Guards against a bound that is missed in silence, as no watch can be that short.
test('bounds that are too short to be kept after a silence are logged as an error', (t) => {
  t.deepEqual(problemsLogged({ applyMs: 1000, contactMs: 1000 }), []);
  const [line, ...others] = problemsLogged({ applyMs: 100, contactMs: 100 });
  t.regex(line ?? '', /error .*configuration\.bound-too-short.* boundMs=100 noticedMs=300/);
  t.deepEqual(others, []);
});
