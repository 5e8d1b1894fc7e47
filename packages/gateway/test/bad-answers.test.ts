/** Guards against responses that are taken for crashes of their backends, passed on although they are none, or end the process. */
import { connect } from 'node:net';
import { SystemClock } from '@canvasridge/clock';
import test, { type ExecutionContext } from 'ava';
import type { Dispatcher } from 'undici';
import type { BackendConnection } from '../src/backends/backend-connection.js';
import type { RequestHandler } from '../src/backends/revocable-client.js';
import { BackendAttempt } from '../src/request/backend-attempt.js';
import type { ResponseSink } from '../src/request/response-sink.js';
import { dialect, Harness, HOST } from './harness.js';
import { success, type RawResponder } from './raw-backend.js';
import { relayedCall } from './relayed-call.js';
import { startRelay } from './running-relay.js';

const answers: RawResponder = (socket, id) => socket.write(success(id, 'answer'));

async function startHarness(
  t: ExecutionContext,
  kind: 'idempotent' | 'at-most-once',
  respond: RawResponder,
): Promise<Harness> {
  const harness = await Harness.start({ kind }, [respond, respond]);
  t.teardown(() => harness.stop());
  return harness;
}

const BAD_ANSWERS = {
  'that announce others without end': 'HTTP/1.1 103 X\r\n\r\n'.repeat(100),
  'that are no HTTP': 'garbage\r\n\r\n',
  'with the status 099': 'HTTP/1.1 099 X\r\n\r\n',
  'with the status 101': 'HTTP/1.1 101 X\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n',
  'with a header that is none': 'HTTP/1.1 200 OK\r\nno colon\r\n\r\n',
};

for (const [what, bytes] of Object.entries(BAD_ANSWERS)) {
  // Three of them quarantined the request, as if backends had crashed under it.
  test(`responses ${what} are not reported as crashes of backends`, async (t) => {
    const harness = await startHarness(t, 'at-most-once', (socket) => socket.write(bytes));
    const { status } = await harness.call('a1');
    t.is(status, 502);
    t.deepEqual(harness.quarantineReports, []);
  });

  test(`responses ${what} are reported as such by a node that relays`, async (t) => {
    const { port } = await startRelay(t, (socket) => socket.write(bytes));
    t.is((await relayedCall(port)).failure, 'bad-answer');
  });
}

// It was passed on to the client.
test('a status that HTTP does not have is no answer', async (t) => {
  const odd: RawResponder = (socket, id) => socket.write(success(id, 'odd').replace('200', '999'));
  const harness = await startHarness(t, 'at-most-once', odd);
  t.is((await harness.call('a1')).status, 502);
});

const announcesFirst: RawResponder = (socket, id) =>
  socket.write(`HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n${success(id, 'answer')}`);

// The response was rejected for want of the backend's stamp in its announcement.
test('a response that is announced is passed on', async (t) => {
  const harness = await startHarness(t, 'at-most-once', announcesFirst);
  const { status, body } = await harness.call('a1');
  t.is(status, 200);
  t.is(body, 'answer');
});

// The announcement was passed on as if it were the response, which then broke off.
test('a response that is announced is relayed', async (t) => {
  const { port } = await startRelay(t, announcesFirst);
  t.deepEqual(await relayedCall(port), { status: 200, failure: undefined, body: 'answer', whole: true });
});

/** Sends bytes on a connection of their own; resolves to what came back. */
function exchangeBytes(port: number, bytes: string): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1', () => socket.write(bytes));
    let received = '';
    socket.on('data', (part: Buffer) => (received += part.toString('latin1')));
    socket.on('close', () => resolve(received));
    socket.on('error', () => undefined);
  });
}

// Each backend counted as unreachable, so that such requests made this node look for its paths and backends look failed.
test('a request whose headers can not be written does not count against backends', async (t) => {
  const harness = await startHarness(t, 'idempotent', answers);
  const head = `POST /x/ HTTP/1.1\r\nhost: ${HOST}\r\nhost: ${HOST}\r\nattempt-id: a1\r\nconnection: close\r\n`;
  const received = await exchangeBytes(harness.port, `${head}content-length: 0\r\n\r\n`);
  t.regex(received, /^HTTP\/1.1 503 /);
  t.deepEqual([...harness.uses].sort(), ['i1 cancelled', 'i2 cancelled']);
  t.true(harness.lines.some((line) => line.includes('event=request.defect')));
  t.is((await harness.call('a2')).body, 'answer');
});

const readResponse = dialect.readResponse.bind(dialect);

// It was taken for the end of the connection, and reported as a crash of the backend.
test.serial('an internal error while a response is read is logged as such', async (t) => {
  const harness = await startHarness(t, 'at-most-once', answers);
  t.teardown(() => Object.assign(dialect, { readResponse }));
  Object.assign(dialect, {
    readResponse: () => {
      throw new Error('defect');
    },
  });
  t.is((await harness.call('a1')).status, 502);
  t.deepEqual(harness.quarantineReports, []);
  t.true(harness.lines.some((line) => line.includes('event=request.defect') && line.includes('backend=i')));
  Object.assign(dialect, { readResponse });
  t.is((await harness.call('a2')).status, 200);
});

// The error was the rejection of a promise that nothing handled, which ended the process.
test('an internal error at the end of a response without a length ends the attempt', async (t) => {
  let handler: RequestHandler | undefined;
  const connection = {
    send: (prepare: () => unknown, given: RequestHandler) => {
      prepare();
      handler = given;
    },
    expectBodyUntilClose: () => undefined,
    wasResetAtEnd: () => Promise.resolve(false),
    reset: () => undefined,
  };
  const sink = {
    keep: () => true,
    start: () => {
      throw new Error('defect');
    },
  };
  const defects: unknown[] = [];
  const attempt = new BackendAttempt(
    {
      hop: {
        connection: connection as unknown as BackendConnection,
        relay: undefined,
        headers: [],
        unreachable: 'unreachable',
        lostCause: 'connection-lost',
        failureOf: () => undefined,
        received: () => undefined,
        release: () => undefined,
      },
      dialect,
      clock: new SystemClock(),
      method: 'GET',
      path: '/',
      headers: () => [],
      body: Buffer.alloc(0),
      attemptId: 'a1',
      reasonNotToWrite: () => undefined,
      onWritten: () => undefined,
      onNotice: () => undefined,
      onStarted: () => undefined,
      onGoesOn: { afterMs: 1000, call: () => undefined },
      stream: false,
      lastEventId: -1,
      inactivityLimit: undefined,
      onInactive: () => undefined,
      onActive: () => undefined,
      onDefect: (cause) => defects.push(cause),
    },
    sink as unknown as ResponseSink,
  );
  const outcome = attempt.run();
  const controller = {} as Dispatcher.DispatchController;
  handler?.onRequestStart?.(controller, {});
  handler?.onResponseStart?.(controller, 200, { 'attempt-id': 'a1', 'response-stamp': 's' });
  handler?.onResponseEnd?.(controller, {});
  t.deepEqual(await outcome, { kind: 'broken', detail: 'internal error', how: 'bad-answer' });
  t.is(defects.length, 1);
});
