/**
 * Finds the cause of a failed request from its id and the log lines alone, as docs/OPERATIONS.md describes.
 */
import { EventEmitter } from 'node:events';
import { SystemClock, VirtualClock, type Clock } from '@canvasridge/clock';
import test from 'ava';
import { Harness, type RouteOverrides } from './harness.js';
import { chunk, streamHead, type RawResponder } from './raw-backend.js';

/** What the log lines say about one request. */
interface Explanation {
  readonly outcome: string;
  readonly backend: string | undefined;
  readonly sends: number;
  /** The outcome after which each retry was sent. */
  readonly retriedAfter: readonly string[];
}

function explain(lines: readonly string[], attemptId: string): Explanation | undefined {
  const requestLines = lines.map(fieldsOf).filter((fields) => fields.get('subject') === attemptId);
  const finished = requestLines.find((fields) => fields.get('event') === 'request.finished');
  if (finished === undefined) return undefined;
  const retries = requestLines.filter((fields) => fields.get('event') === 'request.retried');
  return {
    outcome: finished.get('outcome') ?? '',
    backend: finished.get('backend'),
    sends: Number(finished.get('sends')),
    retriedAfter: retries.map((fields) => `${fields.get('after') ?? ''}: ${fields.get('detail') ?? ''}`),
  };
}

function fieldsOf(line: string): ReadonlyMap<string, string> {
  const pairs = line.matchAll(/(\w+)=("(?:[^"\\]|\\.)*"|\S+)/g);
  return new Map(
    [...pairs].map(([, key = '', value = '']) => [key, value.startsWith('"') ? unquote(value) : value]),
  );
}

function unquote(value: string): string {
  return JSON.parse(value) as string;
}

const refuses: RawResponder = (socket) =>
  socket.write('HTTP/1.1 503 Busy\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n');
/** Emits the attempt id of a request whose client has received a part of the response. */
const received = new EventEmitter();
/**
 * Resets the connection after the client has received the first event. A reset that reaches the gateway
 * together with data is reported as an ordinary end of the connection.
 */
const breaksOff: RawResponder = (socket, id) => {
  received.once(id, () => socket.resetAndDestroy());
  socket.write(streamHead(id) + chunk('id: 0\ndata: e0\n\n') + chunk('id: 1\nda'));
};
const TIMEOUT_MS = 150;
const silentClock = new VirtualClock();
/** Does not respond; the time of the request runs from its arrival here. */
const silent: RawResponder = () => {
  void silentClock.runUntil(silentClock.now() + TIMEOUT_MS);
};

const cases: readonly {
  readonly name: string;
  readonly changes: RouteOverrides;
  readonly responders: readonly RawResponder[];
  readonly clock?: Clock;
  readonly expected: Explanation;
}[] = [
  {
    name: 'refused',
    changes: { kind: 'at-most-once' },
    responders: [refuses],
    expected: {
      outcome: 'not-run: no-backend',
      backend: 'i1',
      sends: 1,
      retriedAfter: ['not-run: refused'],
    },
  },
  {
    name: 'broken off',
    changes: { kind: 'stream', attempts: 1 },
    responders: [breaksOff],
    expected: { outcome: 'broken-off: read ECONNRESET', backend: 'i1', sends: 1, retriedAfter: [] },
  },
  {
    name: 'too late',
    changes: { kind: 'at-most-once', timeoutMs: TIMEOUT_MS },
    responders: [silent],
    clock: silentClock,
    expected: { outcome: 'timed-out', backend: 'i1', sends: 1, retriedAfter: [] },
  },
];

for (const { name, changes, responders, clock = new SystemClock(), expected } of cases) {
  test(`the log lines explain a request that was ${name}`, async (t) => {
    const harness = await Harness.start(changes, responders, clock);
    t.teardown(() => harness.stop());
    for (const attemptId of ['seen-by-its-client', 'another']) {
      await harness.call(attemptId, undefined, undefined, undefined, () => received.emit(attemptId));
    }
    t.deepEqual(explain(harness.lines, 'seen-by-its-client'), expected);
  });
}
