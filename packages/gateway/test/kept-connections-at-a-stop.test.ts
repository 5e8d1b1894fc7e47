/**
 * Seen in production: during a planned stop a caller's request ended without a response after it had been
 * forwarded.
 *
 * The node had served a long stream on a connection that it had promised to keep, before it was told to
 * stop. When the stream ended, after the time in which the node still accepted requests, the caller sent its
 * next request at once. Idle connections were closed only by a check every 50 ms, so the request was
 * accepted, forwarded, and cut off at the end of the grace period. The tests use one such caller on real
 * sockets: before the fix, its second request reached the backend in every run.
 */
import { connect, type Socket } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { HOST } from './harness.js';
import { chunk, streamHead, success } from './raw-backend.js';
import { startNode, type RunningNode } from './running-node.js';

const GRACE_MS = 3000;
/** Later than the part of the grace period in which requests are still accepted. */
const LATE_MS = 1300;
/** Pause of a slow caller after each part of a response. */
const READ_PAUSE_MS = 100;
const LAST_CHUNK = '0\r\n\r\n';

function requestHead(attemptId: string): string {
  return `POST /x/ HTTP/1.1\r\nhost: ${HOST}\r\nattempt-id: ${attemptId}\r\ncontent-length: 0\r\n\r\n`;
}

/** A caller on one connection. */
class Caller {
  readonly ended: Promise<void>;
  readonly #socket: Socket;
  received = '';

  constructor(port: number) {
    this.#socket = connect({ host: '127.0.0.1', port });
    this.#socket.setEncoding('latin1');
    this.#socket.on('data', (text: string) => {
      this.received += text;
    });
    this.#socket.on('error', () => undefined);
    this.ended = new Promise((resolve) => this.#socket.once('close', () => resolve()));
  }

  send(attemptId: string): void {
    this.write(requestHead(attemptId));
  }

  write(text: string): void {
    this.#socket.write(text);
  }

  /** Reads slowly, with a pause after each part that arrives. */
  readSlowly(): void {
    this.#socket.on('data', () => {
      this.#socket.pause();
      setTimeout(() => this.#socket.resume(), READ_PAUSE_MS);
    });
  }

  /** Sends a request as soon as the previous response is complete. */
  sendAfterAnswer(attemptId: string): void {
    this.#socket.on('data', () => {
      if (this.received.endsWith(LAST_CHUNK) && !this.#socket.destroyed) this.send(attemptId);
    });
  }

  /** Status codes of the responses that arrived. */
  get statuses(): number[] {
    return [...this.received.matchAll(/HTTP\/1\.1 (\d+) /g)].map(([, status]) => Number(status));
  }

  close(): void {
    this.#socket.destroy();
  }
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** Starts a node with one stream in progress whose first event has reached its caller. */
async function startStream(
  t: ExecutionContext,
): Promise<{ running: RunningNode; caller: Caller; end: () => void }> {
  let begin = (): void => undefined;
  const begun = new Promise<void>((resolve) => {
    begin = resolve;
  });
  let end = (): void => undefined;
  const running = await startNode(
    t,
    { route: { kind: 'stream' }, graceMs: GRACE_MS },
    (socket, attemptId) => {
      if (attemptId !== 'first') return;
      socket.write(streamHead(attemptId) + chunk('id: 0\ndata: x\n\n'));
      end = () => socket.write(chunk('id: 1\ndata: y\n\n') + LAST_CHUNK);
      begin();
    },
  );
  const caller = new Caller(running.port);
  t.teardown(() => caller.close());
  caller.send('first');
  await begun;
  while (!caller.received.includes('id: 0')) await pause(5);
  return { running, caller, end: () => end() };
}

test('a request sent right after a long response is not accepted late in a planned stop', async (t) => {
  const { running, caller, end } = await startStream(t);
  caller.sendAfterAnswer('second');
  const stopped = running.node.stop();
  await pause(LATE_MS);
  end();
  await Promise.all([stopped, caller.ended]);
  t.true(caller.received.includes('id: 1'), 'the long response is complete');
  t.deepEqual(running.attempts, ['first'], 'a request that can no longer be answered is not forwarded');
});

test('a request that arrives late in a planned stop is refused at once', async (t) => {
  const { running, end } = await startStream(t);
  const late = new Caller(running.port);
  t.teardown(() => late.close());
  // A partial request header keeps the connection from being closed as idle.
  await pause(50);
  const head = requestHead('late');
  late.write(head.slice(0, 20));
  await pause(50);
  const stopped = running.node.stop();
  await pause(LATE_MS);
  late.write(head.slice(20));
  await late.ended;
  t.deepEqual(late.statuses, [503]);
  t.regex(late.received, /retry-after: /i);
  t.regex(late.received, /connection: close/i);
  t.deepEqual(running.attempts, ['first']);
  end();
  await stopped;
});

test('a request that is still unanswered at the end of the grace period gets a response', async (t) => {
  const route = { kind: 'at-most-once' } as const;
  const running = await startNode(t, { route, graceMs: GRACE_MS }, () => undefined);
  const caller = new Caller(running.port);
  t.teardown(() => caller.close());
  caller.send('first');
  while (running.attempts.length === 0) await pause(5);
  await running.node.stop();
  await caller.ended;
  t.deepEqual(caller.statuses, [504]);
});

test('a response that its caller reads slowly is complete after a planned stop', async (t) => {
  const body = 'x'.repeat(200_000);
  const running = await startNode(t, { graceMs: GRACE_MS }, (socket, attemptId) => {
    socket.write(success(attemptId, body));
  });
  const caller = new Caller(running.port);
  t.teardown(() => caller.close());
  caller.send('first');
  while (running.attempts.length === 0) await pause(5);
  caller.readSlowly();
  await running.node.stop();
  await caller.ended;
  t.true(caller.received.endsWith(body));
});
