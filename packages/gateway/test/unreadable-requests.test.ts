/**
 * Guards against answers to what can't be read that a client takes for the answer to its request before, which runs: a 408
 * promises that it has not run.
 */
import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { connect, type Socket } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { ClientServer } from '../src/client-server.js';

const HOST = '127.0.0.1';
const HEADER_TIMEOUT_MS = 100;
const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1000,
  headerTimeoutMs: HEADER_TIMEOUT_MS,
  idleTimeoutMs: 5000,
};
const WHOLE = 'GET /1 HTTP/1.1\r\nhost: x\r\n\r\n';

interface Rig {
  readonly client: Socket;
  readonly served: IncomingMessage[];
  readonly events: string[];
}

/** A server that answers nothing. */
async function start(t: ExecutionContext): Promise<Rig> {
  const served: IncomingMessage[] = [];
  const events: string[] = [];
  const event = (_level: string, name: string, subject: string, fields: object = {}): number =>
    events.push(`${name} ${subject} ${'code' in fields ? String(fields.code) : ''}`);
  const server = new ClientServer(
    (request: IncomingMessage, _response: ServerResponse) => {
      request.resume();
      request.on('error', () => undefined);
      served.push(request);
    },
    { event },
  );
  server.applyLimits(LIMITS);
  const port = (await server.listen({ host: HOST, port: 0 }))._unsafeUnwrap();
  const client = connect({ host: HOST, port });
  client.on('error', () => undefined);
  t.teardown(() => {
    client.destroy();
    server.stopAccepting();
    server.closeAll();
  });
  await once(client, 'connect');
  return { client, served, events };
}

/** What the client receives until its connection is closed. */
async function received(client: Socket): Promise<string> {
  let text = '';
  client.on('data', (bytes) => (text += bytes.toString()));
  await once(client, 'close');
  return text.split('\r\n')[0] ?? '';
}

const unreadable: readonly (readonly [name: string, text: string, code: string])[] = [
  ['headers that never end', 'GET /2 HTTP/1.1\r\nhos', 'ERR_HTTP_REQUEST_TIMEOUT'],
  ['bytes that are no request', '\u0001\r\n\r\n', 'HPE_INVALID_METHOD'],
  ['headers over 64 KiB', `GET /2 HTTP/1.1\r\nname: ${'x'.repeat(70_000)}`, 'HPE_HEADER_OVERFLOW'],
];

for (const [name, text, code] of unreadable) {
  test(`${name} behind a request that runs close its connection without an answer`, async (t) => {
    const { client, served, events } = await start(t);
    client.write(WHOLE);
    while (served.length === 0) await new Promise((resolve) => setTimeout(resolve, 5));
    client.write(text);
    t.is(await received(client), '');
    t.is(served.length, 1);
    t.deepEqual(events, [`connections.unreadable listen.callers ${code}`]);
  });
}

const STATUS_LINES: readonly (readonly [name: string, text: string, statusLine: string])[] = [
  ['headers that never end', 'GET /2 HTTP/1.1\r\nhos', 'HTTP/1.1 408 Request Timeout'],
  ['bytes that are no request', '\u0001\r\n\r\n', 'HTTP/1.1 400 Bad Request'],
  [
    'headers over 64 KiB',
    `GET /2 HTTP/1.1\r\nname: ${'x'.repeat(70_000)}`,
    'HTTP/1.1 431 Request Header Fields Too Large',
  ],
  [
    'a body whose chunks can not be read',
    'POST /1 HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nxyz\r\n',
    'HTTP/1.1 400 Bad Request',
  ],
];

for (const [name, text, statusLine] of STATUS_LINES) {
  test(`${name} on a connection without a request that runs get an answer`, async (t) => {
    const { client } = await start(t);
    client.write(text);
    t.is(await received(client), statusLine);
  });
}
