/** From the id of a failed request to its cause, with the log lines alone: the way of docs/OPERATIONS.md. */
import test from 'ava';
import { Harness, type RouteChanges } from './harness.js';
import { chunk, streamHead, type RawAnswer } from './raw-backend.js';

/** What the lines tell of one request. */
interface Explanation {
  readonly outcome: string;
  readonly backend: string | undefined;
  readonly sends: number;
  /** What each further send came after. */
  readonly retriedAfter: readonly string[];
}

function explain(lines: readonly string[], attemptId: string): Explanation | undefined {
  const own = lines.map(fieldsOf).filter((fields) => fields.get('subject') === attemptId);
  const finished = own.find((fields) => fields.get('event') === 'request.finished');
  if (finished === undefined) return undefined;
  const retries = own.filter((fields) => fields.get('event') === 'request.retried');
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

const refuses: RawAnswer = (socket) =>
  socket.write('HTTP/1.1 503 Busy\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n');
const breaksOff: RawAnswer = (socket, id) => {
  socket.write(streamHead(id) + chunk('id: 0\ndata: e0\n\n') + chunk('id: 1\nda'));
  setTimeout(() => socket.resetAndDestroy(), 30);
};
const silent: RawAnswer = () => undefined;

const cases: readonly {
  readonly name: string;
  readonly changes: RouteChanges;
  readonly answers: readonly RawAnswer[];
  readonly expected: Explanation;
}[] = [
  {
    name: 'refused',
    changes: { kind: 'at-most-once' },
    answers: [refuses],
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
    answers: [breaksOff],
    expected: { outcome: 'broken-off: read ECONNRESET', backend: 'i1', sends: 1, retriedAfter: [] },
  },
  {
    name: 'too late',
    changes: { kind: 'at-most-once', timeoutMs: 150 },
    answers: [silent],
    expected: { outcome: 'timed-out', backend: 'i1', sends: 1, retriedAfter: [] },
  },
];

for (const { name, changes, answers, expected } of cases) {
  test(`the lines explain a request that was ${name}`, async (t) => {
    const harness = await Harness.start(changes, answers);
    t.teardown(() => harness.stop());
    await harness.call('seen-by-its-client');
    await harness.call('another');
    t.deepEqual(explain(harness.lines, 'seen-by-its-client'), expected);
  });
}
