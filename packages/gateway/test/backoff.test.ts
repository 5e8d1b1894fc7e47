/**
 * Seen in operation: an engine turned a node's request away and wanted nothing more from that node for 3 s; three requests of the
 * node reached it in that time, where two are allowed. The same with another engine some seconds later.
 *
 * Which time a backend asks for was not read. Whoever chose engines preferred others for 1.5 s after a refusal, and gave the engine to the
 * same node again when it had what a request needed.
 * Proved by the nodes' lines: both engines were granted to the node 0.5 s and 2 s after they had turned it away, by a leader that
 * had been told of the refusals.
 * Shown by a backend that asks for a time while it would be chosen otherwise, as the other one is slower.
 */
import { VirtualClock } from '@canvasridge/clock';
import test, { type ExecutionContext } from 'ava';
import { BackendBackoffs } from '../src/backends/backend-backoffs.js';
import { Harness } from './harness.js';
import { success, type RawAnswer } from './raw-backend.js';

const CALLS = 20;
/** Longer than any of these tests takes. */
const LONG_MS = 60_000;
const SLOW_MS = 15;
const SHORT_MS = 200;
/** Long beyond what is needed, also on a machine with much else to do. */
const MOST_WAIT_MS = 10_000;

function refusal(id: string, backoffMs: number): string {
  return `HTTP/1.1 503 Full\r\nattempt-id: ${id}\r\nnot-run: 1\r\nbackoff: ${backoffMs}\r\ncontent-length: 0\r\n\r\n`;
}

async function startBeside(t: ExecutionContext, refusing: RawAnswer): Promise<Harness> {
  const slow: RawAnswer = (socket, id) => setTimeout(() => socket.write(success(id, 'slow')), SLOW_MS);
  const harness = await Harness.start({}, [refusing, slow]);
  t.teardown(() => harness.stop());
  return harness;
}

test('a backend that asked for a time gets no request from this node in it, and callers are served', async (t) => {
  const harness = await startBeside(t, (socket, id) => socket.write(refusal(id, LONG_MS)));
  const statuses = new Set<number>();
  for (let index = 0; index < CALLS; index += 1) statuses.add((await harness.call(`a${index}`)).status);
  t.is(harness.backends[0]?.heads.length, 1);
  t.deepEqual(statuses, new Set([200]));
});

test('it gets requests again once its time has ended', async (t) => {
  let isShedding = true;
  const harness = await startBeside(t, (socket, id) =>
    socket.write(isShedding ? refusal(id, SHORT_MS) : success(id, 'back')),
  );
  await harness.call('first');
  isShedding = false;
  let body = '';
  for (let waitedMs = 0; body !== 'back' && waitedMs < MOST_WAIT_MS; waitedMs += SLOW_MS) {
    body = (await harness.call('again')).body;
  }
  t.is(body, 'back');
});

test('a request that was chosen for it before, and waits for its connection, is not written', async (t) => {
  const harness = await Harness.start({ attempts: 1 }, [
    (socket, id) => socket.write(id === 'first' ? refusal(id, LONG_MS) : success(id, 'answer')),
  ]);
  t.teardown(() => harness.stop());
  let sends = 0;
  // The second one is chosen first, and held up until the first one has been turned away.
  let release = (): void => undefined;
  const turnedAway = new Promise<void>((resolve) => {
    release = resolve;
  });
  harness.beforeSend = () => {
    sends += 1;
    return sends === 1 ? turnedAway : Promise.resolve();
  };
  const second = harness.call('second');
  while (sends === 0) await new Promise((resolve) => setImmediate(resolve));
  t.is((await harness.call('first')).status, 503);
  release();
  t.is((await second).status, 503);
  t.is(harness.sends, 1);
});

test('where every backend asked for a time, callers are told at once when to come back: elsewhere, or when it ends', async (t) => {
  const harness = await Harness.start({ attempts: 1 }, [(socket, id) => socket.write(refusal(id, LONG_MS))]);
  t.teardown(() => harness.stop());
  await harness.call('first');
  const alone = await harness.call('alone');
  t.is(alone.status, 503);
  const aloneMs = Number(alone.headers['retry-after']) * 1000;
  t.true(aloneMs > 0 && aloneMs <= LONG_MS);
  harness.othersServe = true;
  const among = await harness.call('among');
  t.is(among.status, 503);
  t.is(among.headers['retry-after'], '0.020');
  t.is(harness.sends, 1);
});

test('answers in any order: the longest time holds; an absurd one is believed for ten minutes only', (t) => {
  const clock = new VirtualClock();
  const backoffs = new BackendBackoffs(clock);
  backoffs.note('i1', 3000);
  backoffs.note('i1', 1000);
  t.is(backoffs.remainingMs('i1'), 3000);
  backoffs.note('i2', 1e15);
  t.is(backoffs.remainingMs('i2'), 600_000);
  backoffs.note('i3', 0);
  t.false(backoffs.has('i3'));
});

test('however many backends ask for a time, the memory is bounded and those that asked last stay', (t) => {
  const backoffs = new BackendBackoffs(new VirtualClock());
  for (let index = 0; index < 5000; index += 1) backoffs.note(`i${index}`, LONG_MS);
  t.true(backoffs.active().length <= 1024);
  t.true(backoffs.has('i4999'));
});

test('what has ended is forgotten, also of a backend that nobody asks for any more', async (t) => {
  const clock = new VirtualClock();
  const backoffs = new BackendBackoffs(clock);
  backoffs.note('gone', 1000);
  backoffs.note('here', 2000);
  await clock.runUntil(1000);
  t.deepEqual(backoffs.active(), ['here']);
  await clock.runUntil(2000);
  t.deepEqual(backoffs.active(), []);
});
