/**
 * Seen in production: an engine refused a node's request and asked the node to send nothing for 3 s; three
 * requests of the node reached it in that time, where two are allowed. The same happened with another engine
 * some seconds later.
 *
 * The requested backoff was not read. The leader that chose engines only preferred others for 1.5 s after a
 * refusal, and granted the engine to the same node again when it had what a request needed. The log lines of
 * the nodes confirmed it: both engines were granted to the node 0.5 s and 2 s after their refusals, by a
 * leader that knew of the refusals. The tests use a backend that asks for a backoff although it would be
 * chosen otherwise, as the other backend is slower.
 */
import { VirtualClock } from '@canvasridge/clock';
import test, { type ExecutionContext } from 'ava';
import { BackendBackoffs } from '../src/backends/backend-backoffs.js';
import { Harness } from './harness.js';
import { success, type RawResponder } from './raw-backend.js';

const CALLS = 20;
/** Longer than any of these tests runs. */
const LONG_MS = 60_000;
const SLOW_MS = 15;
const SHORT_MS = 200;
/** Far more than needed, even on a busy machine. */
const MAX_WAIT_MS = 10_000;

function refusal(id: string, backoffMs: number): string {
  return `HTTP/1.1 503 Full\r\nattempt-id: ${id}\r\nnot-run: 1\r\nbackoff: ${backoffMs}\r\ncontent-length: 0\r\n\r\n`;
}

async function startWithSlowBackend(t: ExecutionContext, refusing: RawResponder): Promise<Harness> {
  const slow: RawResponder = (socket, id) => setTimeout(() => socket.write(success(id, 'slow')), SLOW_MS);
  const harness = await Harness.start({}, [refusing, slow]);
  t.teardown(() => harness.stop());
  return harness;
}

test('a backend that asked for a backoff gets no request from this node in that time, and callers are served', async (t) => {
  const harness = await startWithSlowBackend(t, (socket, id) => socket.write(refusal(id, LONG_MS)));
  const statuses = new Set<number>();
  for (let index = 0; index < CALLS; index += 1) statuses.add((await harness.call(`a${index}`)).status);
  t.is(harness.backends[0]?.requestHeads.length, 1);
  t.deepEqual(statuses, new Set([200]));
});

test('a backend gets requests again once its backoff has ended', async (t) => {
  let isRefusing = true;
  const harness = await startWithSlowBackend(t, (socket, id) =>
    socket.write(isRefusing ? refusal(id, SHORT_MS) : success(id, 'back')),
  );
  await harness.call('first');
  isRefusing = false;
  let body = '';
  for (let waitedMs = 0; body !== 'back' && waitedMs < MAX_WAIT_MS; waitedMs += SLOW_MS) {
    body = (await harness.call('again')).body;
  }
  t.is(body, 'back');
});

test('a request that had chosen the backend before and waits for its connection is not written', async (t) => {
  const harness = await Harness.start({ attempts: 1 }, [
    (socket, id) => socket.write(id === 'first' ? refusal(id, LONG_MS) : success(id, 'answer')),
  ]);
  t.teardown(() => harness.stop());
  let sends = 0;
  // The second request chooses the backend first, and is held up until the first request has been refused.
  let release = (): void => undefined;
  const firstRefused = new Promise<void>((resolve) => {
    release = resolve;
  });
  harness.beforeSend = () => {
    sends += 1;
    return sends === 1 ? firstRefused : Promise.resolve();
  };
  const second = harness.call('second');
  while (sends === 0) await new Promise((resolve) => setImmediate(resolve));
  t.is((await harness.call('first')).status, 503);
  release();
  t.is((await second).status, 503);
  t.is(harness.sends, 1);
});

test('if every backend is backing off, callers get a Retry-After at once: short if other nodes serve, else the remaining backoff', async (t) => {
  const harness = await Harness.start({ attempts: 1 }, [(socket, id) => socket.write(refusal(id, LONG_MS))]);
  t.teardown(() => harness.stop());
  await harness.call('first');
  const alone = await harness.call('alone');
  t.is(alone.status, 503);
  const aloneMs = Number(alone.headers['retry-after']) * 1000;
  t.true(aloneMs > 0 && aloneMs <= LONG_MS);
  harness.hasOtherServingNodes = true;
  const among = await harness.call('among');
  t.is(among.status, 503);
  t.is(among.headers['retry-after'], '0.020');
  t.is(harness.sends, 1);
});

test('the longest backoff holds, in whatever order responses arrive; an absurdly long one is capped at ten minutes', (t) => {
  const clock = new VirtualClock();
  const backoffs = new BackendBackoffs(clock);
  backoffs.record('i1', 3000);
  backoffs.record('i1', 1000);
  t.is(backoffs.remainingMs('i1'), 3000);
  backoffs.record('i2', 1e15);
  t.is(backoffs.remainingMs('i2'), 600_000);
  backoffs.record('i3', 0);
  t.false(backoffs.isBackingOff('i3'));
});

test('memory is bounded however many backends ask for a backoff, and the latest ones are kept', (t) => {
  const backoffs = new BackendBackoffs(new VirtualClock());
  for (let index = 0; index < 5000; index += 1) backoffs.record(`i${index}`, LONG_MS);
  t.true(backoffs.active().length <= 1024);
  t.true(backoffs.isBackingOff('i4999'));
});

test('expired backoffs are dropped, including those of backends that are no longer queried', async (t) => {
  const clock = new VirtualClock();
  const backoffs = new BackendBackoffs(clock);
  backoffs.record('gone', 1000);
  backoffs.record('here', 2000);
  await clock.runUntil(1000);
  t.deepEqual(backoffs.active(), ['here']);
  await clock.runUntil(2000);
  t.deepEqual(backoffs.active(), []);
});
