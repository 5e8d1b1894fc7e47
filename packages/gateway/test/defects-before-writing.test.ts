/**
 * Guards against requests that end because of an internal error at one backend, while nothing was written and others
 * could serve them.
 */
import { socketAddress } from '@canvasridge/addresses';
import test, { type ExecutionContext } from 'ava';
import { BackendConnection } from '../src/backends/backend-connection.js';
import type { BackendHop } from '../src/request/backend-hop.js';
import { useOutcomeOf, wasWritten } from '../src/request/attempt-outcomes.js';
import { Harness, type RouteOverrides } from './harness.js';
import { success, type RawResponder } from './raw-backend.js';

const answer: RawResponder = (socket, id) => socket.write(success(id, 'answer'));

async function startHarness(
  t: ExecutionContext,
  changes: RouteOverrides,
  backends: number,
): Promise<Harness> {
  const harness = await Harness.start(changes, Array<RawResponder>(backends).fill(answer));
  t.teardown(() => harness.stop());
  return harness;
}

function defectLines(harness: Harness): string[] {
  return harness.lines.filter((line) => line.includes('event=request.defect'));
}

/** A way over which no request can be made. */
function spoiledHop(onReleased: () => void): BackendHop {
  const timing = { connectTimeoutMs: 600, defaultKeepAliveMs: 4000, keepAliveMarginMs: 600 };
  // Connects to the harness's own loopback address; nothing is written to it.
  const address = socketAddress('127.0.0.1:9');
  const connection = new BackendConnection(address, { ...timing, maxKeepAliveMs: 60_000 }, () => undefined);
  connection.send = (prepare) => void prepare();
  return {
    connection,
    relay: 'peer',
    get headers(): readonly string[] {
      throw new Error('no headers');
    },
    unreachable: 'no-relay',
    lostCause: 'relay-lost',
    failureOf: () => undefined,
    received: () => undefined,
    release: () => {
      onReleased();
      connection.reset();
    },
  };
}

for (const kind of ['at-most-once', 'idempotent'] as const) {
  // The request ended with 503 although the other backend was sound.
  test(`another backend serves when the way to one can not be opened (${kind})`, async (t) => {
    const harness = await startHarness(t, { kind, attempts: 1 }, 2);
    harness.pathState = 'lost';
    let opened = 0;
    harness.openRelay = () => {
      opened += 1;
      return opened === 1 ? Promise.reject(new TypeError('Invalid URL')) : Promise.resolve(undefined);
    };
    const { status, body } = await harness.call('a1');
    t.is(status, 200);
    t.is(body, 'answer');
    t.is(harness.sends, 1);
    const [line = '', ...others] = defectLines(harness);
    t.deepEqual(others, []);
    t.regex(line, /a1.* backend=i[12] address=127\.0\.0\.1:\d+/);
    const [first = '', second = ''] = harness.uses;
    t.regex(first, /cancelled$/);
    t.regex(second, /served$/);
    t.not(first.slice(0, 2), second.slice(0, 2), 'the backend is not tried again');
  });

  // The same for an error while the request is made.
  test(`another backend serves when the request can not be made for one (${kind})`, async (t) => {
    const harness = await startHarness(t, { kind, attempts: 1 }, 2);
    harness.pathState = 'lost';
    let opened = 0;
    let released = 0;
    harness.openRelay = () => {
      opened += 1;
      return Promise.resolve(opened === 1 ? spoiledHop(() => (released += 1)) : undefined);
    };
    const { status } = await harness.call('a1');
    t.is(status, 200);
    t.is(harness.sends, 1);
    t.is(released, 1);
    t.is(defectLines(harness).length, 1);
  });
}

// It was answered without Retry-After after the first backend, whose slot stayed taken.
test('a request that can be made for no backend is refused once all were tried, and holds nothing', async (t) => {
  const harness = await startHarness(t, {}, 3);
  harness.beforeSend = () => Promise.reject(new Error('defect'));
  const { status, headers, whole } = await harness.call('a1');
  t.is(status, 503);
  t.true(whole);
  t.truthy(headers['retry-after']);
  t.is(defectLines(harness).length, 3);
  t.deepEqual([...harness.uses].sort(), ['i1 cancelled', 'i2 cancelled', 'i3 cancelled']);
  t.is(harness.picked, 0);
  t.is(harness.sends, 0);
});

test('a defect before the write costs no retry budget and does not count against the backend', (t) => {
  const outcome = { kind: 'not-run', reason: 'defect' } as const;
  t.false(wasWritten(outcome));
  t.is(useOutcomeOf(outcome), 'cancelled');
});
