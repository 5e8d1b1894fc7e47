/** What a client may still send of a body after its request was answered. */
import { SystemClock, type Timer } from '@canvasridge/clock';
import test, { type ExecutionContext } from 'ava';
import { MAX_REST_MS } from '../src/request/rest-limit.js';
import { Harness } from './harness.js';
import { success, type RawResponder } from './raw-backend.js';
import { sendUnfinishedBody, until, type UnfinishedBody } from './unfinished-body.js';

const answer: RawResponder = (socket, id) => socket.write(success(id, 'answer'));
const UNKNOWN_PATH = '/other/';
const MAX_BODY_BYTES = 65_536;
const PART_BYTES = 10_000;
const PART = { path: UNKNOWN_PATH, announcedBytes: 50_000, sentBytes: 40_000 };

/** Runs timers of the time for the rest when told to. */
class RestClock extends SystemClock {
  readonly pending = new Set<() => void>();

  override setTimer(delayMs: number, callback: () => void): Timer {
    if (delayMs !== MAX_REST_MS) return super.setTimer(delayMs, callback);
    this.pending.add(callback);
    return { cancel: () => void this.pending.delete(callback) };
  }
}

async function answeredPart(
  t: ExecutionContext,
  part: Parameters<typeof sendUnfinishedBody>[3],
): Promise<{ harness: Harness; clock: RestClock; client: UnfinishedBody }> {
  const clock = new RestClock();
  const harness = await Harness.start({}, [answer], clock);
  t.teardown(() => harness.stop());
  const client = await sendUnfinishedBody(t, harness.port, 'a1', part);
  await until(() => client.answer() !== '');
  return { harness, clock, client };
}

function cuts(harness: Harness): readonly string[] {
  return harness.lines.filter((line) => line.includes('event=request.body-cut '));
}

// The node read and dropped it for as long as the client sent.
test('a client that goes on with a body that was refused is cut off', async (t) => {
  const { harness, client } = await answeredPart(t, { announcedBytes: 1e9, sentBytes: 1 });
  t.regex(client.answer(), /^HTTP\/1\.1 413 /);
  for (let sent = 0; sent <= MAX_BODY_BYTES; sent += PART_BYTES) {
    t.is(cuts(harness).length, 0);
    client.socket.write('x'.repeat(PART_BYTES));
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  await until(() => client.isClosed());
  t.regex(cuts(harness)[0] ?? '', / id=a1 .*reason=too-long/);
});

// Its connection stayed, and what it takes, until the client closed it.
test('a client that keeps the rest of a refused body back is cut off', async (t) => {
  const { harness, clock, client } = await answeredPart(t, PART);
  t.regex(client.answer(), /^HTTP\/1\.1 404 /);
  t.is(clock.pending.size, 1);
  for (const callback of clock.pending) callback();
  await until(() => client.isClosed());
  t.regex(cuts(harness)[0] ?? '', / id=a1 .*reason=too-late/);
});

test('a client that sends the rest of a refused body may use its connection again', async (t) => {
  const { harness, clock, client } = await answeredPart(t, PART);
  client.socket.write('x'.repeat(PART.announcedBytes - PART.sentBytes));
  await until(() => clock.pending.size === 0);
  client.socket.write('POST /x/ HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a2\r\nContent-Length: 0\r\n\r\n');
  await until(() => client.answer().includes('HTTP/1.1 200 '));
  t.is(cuts(harness).length, 0);
});

test('a client that leaves after its answer leaves no timer', async (t) => {
  const { clock, client } = await answeredPart(t, PART);
  client.socket.resetAndDestroy();
  await until(() => clock.pending.size === 0);
  t.pass();
});
