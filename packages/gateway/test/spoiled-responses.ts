/** Responses of backends that are valid, nearly valid or no HTTP at all. */
import type { Socket } from 'node:net';
import fc from 'fast-check';

/** The end of a connection that ends late comes this long after its last bytes, in milliseconds. */
const LATE_MS = 20;

export type Ending = 'end' | 'reset' | 'late';

/** What a backend sends for a request whose attempt id stands for `ID`. */
export interface SpoiledResponse {
  readonly text: string;
  readonly ending: Ending;
  /** Whether a success with this body may have been read from it. */
  readonly mayBe: (body: string) => boolean;
  /** Whether a stream may have begun with this. */
  readonly mayBegin: (events: string) => boolean;
}

const VERSIONS = ['HTTP/1.1', 'HTTP/1.1', 'HTTP/1.1', 'HTTP/1.0', 'HTTP/2.0', 'HTTP/9.9', 'ICY'];
const STATUSES = [
  '200',
  '200',
  '200',
  '201',
  '204',
  '205',
  '206',
  '299',
  '300',
  '304',
  '404',
  '421',
  '500',
  '503',
];
const ODD_STATUSES = [
  '099',
  '000',
  '100',
  '101',
  '102',
  '103',
  '199',
  '600',
  '999',
  '1000',
  '20',
  '-1',
  'abc',
  '',
];
const ODD_HEADERS = [
  'constructor: 1',
  '__proto__: 1',
  '__proto__: 1\r\n__proto__: 2',
  'x: \u00e9\u20ac',
  'x: \u0001',
  'x: a\u0000b',
  'x:',
  ': no name',
  'no colon',
  'sp ace: 1',
  '\u00e9: 1',
  'x: 1\r\n folded',
  'set-cookie: a\r\nset-cookie: b',
  'connection: close',
  'connection: x, constructor, content-type',
  'upgrade: h2c\r\nconnection: upgrade',
  'trailer: x',
  'keep-alive: timeout=abc',
  'keep-alive: timeout=1e9',
  'content-encoding: gzip',
  'content-type: text/event-stream',
  'content-type: \u00ff',
  'date: never',
  'rate-limit: abc',
  'backoff: 1e308',
  'backoff: NaN',
  'not-run: 1',
  `big: ${'y'.repeat(20_000)}`,
];
const BODIES = ['', 'spoiled', 'id: 1\ndata: spoiled\n\n', 'id: 99\ndata', '0\r\n\r\n', '\u0000\u00ff'];
const FRAMINGS = [
  'length',
  'chunked',
  'close',
  'long',
  'short',
  'both',
  'odd-length',
  'odd-chunk',
  'trailers',
] as const;
type Framing = (typeof FRAMINGS)[number];

function framed(framing: Framing, body: string): readonly [headers: readonly string[], bytes: string] {
  const { length } = Buffer.from(body, 'latin1');
  const chunk = length === 0 ? '' : `${length.toString(16)}\r\n${body}\r\n`;
  switch (framing) {
    case 'length':
      return [[`content-length: ${length}`], body];
    case 'chunked':
      return [['transfer-encoding: chunked'], `${chunk}0\r\n\r\n`];
    case 'close':
      return [[], body];
    case 'long':
      return [[`content-length: ${length + 3}`], body];
    case 'short':
      return [[`content-length: ${Math.max(length - 3, 0)}`], body];
    case 'both':
      return [[`content-length: ${length}`, 'transfer-encoding: chunked'], `${chunk}0\r\n\r\n`];
    case 'odd-length':
      return [['content-length: 1e1', 'content-length: -1'], body];
    case 'odd-chunk':
      return [['transfer-encoding: chunked'], `zz\r\n${body}\r\n0\r\n\r\n`];
    case 'trailers':
      return [['transfer-encoding: chunked'], `${chunk}0\r\n__proto__: 1\r\nx: 2\r\nattempt-id: b\r\n\r\n`];
  }
}

const structured = fc
  .record({
    version: fc.constantFrom(...VERSIONS),
    status: fc.oneof(
      { weight: 3, arbitrary: fc.constantFrom(...STATUSES) },
      fc.constantFrom(...ODD_STATUSES),
    ),
    before: fc.constantFrom(
      '',
      '',
      '',
      'HTTP/1.1 103 Early\r\nlink: x\r\n\r\n',
      '\r\n',
      'HTTP/1.1 099 X\r\n\r\n',
    ),
    reason: fc.constantFrom(' OK', '', ' \u00e9', ' \u0001'),
    id: fc.constantFrom('ID', 'ID', 'ID', 'other'),
    isStamped: fc.boolean(),
    odd: fc.subarray(ODD_HEADERS, { maxLength: 2 }),
    framing: fc.constantFrom(...FRAMINGS),
    body: fc.constantFrom(...BODIES),
    ending: fc.constantFrom<Ending>('end', 'reset', 'late'),
  })
  .map(({ version, status, before, reason, id, isStamped, odd, framing, body, ending }): SpoiledResponse => {
    const [framingHeaders, bytes] = framed(framing, body);
    const identity = [`attempt-id: ${id}`, ...(isStamped ? ['response-stamp: s1'] : [])];
    const lines = [`${version} ${status}${reason}`, ...identity, ...odd, ...framingHeaders];
    const mayServe =
      isStamped && id === 'ID' && /^2/.test(status) && !['long', 'odd-length', 'odd-chunk'].includes(framing);
    const seen = framing === 'short' ? body.slice(0, Math.max(body.length - 3, 0)) : body;
    const validBody = status === '204' ? '' : seen;
    return {
      text: `${before}${lines.join('\r\n')}\r\n\r\n${bytes}`,
      ending,
      mayBe: (received) => mayServe && received === asText(validBody),
      mayBegin: (events) => isStamped && id === 'ID' && asText(body).startsWith(events),
    };
  });

/** A valid or nearly valid response with some of its bytes replaced. */
export const spoiledResponse: fc.Arbitrary<SpoiledResponse> = fc.oneof(
  { weight: 4, arbitrary: structured },
  fc
    .record({
      base: structured,
      at: fc.nat(400),
      cut: fc.nat(4),
      put: fc.string({ unit: 'binary-ascii', maxLength: 4 }),
    })
    .map(({ base, at, cut, put }): SpoiledResponse => {
      const text = base.text.slice(0, at) + put + base.text.slice(at + cut);
      const isContained = (received: string): boolean => isContainedInOrder(received, asText(text));
      return { text, ending: 'end', mayBe: isContained, mayBegin: isContained };
    }),
);

/** A body as the client of the test reads it. */
function asText(bytes: string): string {
  return Buffer.from(bytes, 'latin1').toString('utf8');
}

/** Whether a text is what remains of another one without some of its characters, such as those of the framing. */
function isContainedInOrder(text: string, whole: string): boolean {
  let at = 0;
  for (const character of text) {
    at = whole.indexOf(character, at) + 1;
    if (at === 0) return false;
  }
  return true;
}

/** Sends the response on a connection. */
export function sendSpoiled(socket: Socket, attemptId: string, { text, ending }: SpoiledResponse): void {
  socket.write(Buffer.from(text.replaceAll('ID', attemptId), 'latin1'), () => {
    if (ending === 'end') socket.end();
    else if (ending === 'reset') socket.resetAndDestroy();
    else setTimeout(() => socket.end(), LATE_MS);
  });
}
