/** Guards against clients whose connections take all places of a server, so that others get none. */
import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { connect, type Socket } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { ClientServer } from '../src/client-server.js';

const HOST = '127.0.0.1';
const BODY = 'x'.repeat(100_000);

interface Rig {
  readonly events: string[];
  readonly open: () => Promise<Socket>;
}

async function start(
  t: ExecutionContext,
  maxConnections: number,
  listener: (request: IncomingMessage, response: ServerResponse) => void,
): Promise<Rig> {
  const events: string[] = [];
  const event = (_level: string, name: string, subject: string, fields: object = {}): number =>
    events.push(`${name} ${subject} ${'kind' in fields ? String(fields.kind) : ''}`);
  const server = new ClientServer(listener, { event }, { maxConnections });
  const port = (await server.listen({ host: HOST, port: 0 }))._unsafeUnwrap();
  const sockets: Socket[] = [];
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.stopAccepting();
    server.closeAll();
  });
  const open = async (): Promise<Socket> => {
    const socket = connect({ host: HOST, port });
    socket.on('error', () => undefined);
    sockets.push(socket);
    await once(socket, 'connect');
    return socket;
  };
  return { events, open };
}

async function exchange(socket: Socket, request: string): Promise<string> {
  socket.write(request);
  const [bytes] = (await once(socket, 'data')) as [Buffer];
  return bytes.toString().slice(0, 12);
}

const GET = 'GET / HTTP/1.1\r\nhost: x\r\n\r\n';

test('a connection that has sent nothing gives way to a new one, which is served', async (t) => {
  const { events, open } = await start(t, 2, (_request, response) => response.end('x'));
  const silent = await open();
  const kept = await open();
  t.is(await exchange(kept, GET), 'HTTP/1.1 200');
  const closed = once(silent, 'close');
  t.is(await exchange(await open(), GET), 'HTTP/1.1 200');
  await closed;
  t.is(await exchange(kept, GET), 'HTTP/1.1 200');
  t.deepEqual(events, ['connections.gave-way listen.callers idle']);
});

test('a connection that waits for its response does not give way', async (t) => {
  const responses: ServerResponse[] = [];
  const { events, open } = await start(t, 1, (request, response) => {
    request.resume();
    responses.push(response);
  });
  const first = await open();
  first.write(GET);
  while (responses.length === 0) await new Promise((resolve) => setTimeout(resolve, 5));
  const second = await open();
  await once(second, 'close');
  responses[0]?.end('x');
  await once(first, 'data');
  t.deepEqual(events, ['connections.gave-way listen.callers new']);
});

// The rest of its body was read after the response, and then counted as a request in progress.
test('a connection whose request was answered before its body was read gives way', async (t) => {
  const { open } = await start(t, 1, (_request, response) => response.end('x'));
  const first = await open();
  t.is(
    await exchange(first, `POST / HTTP/1.1\r\nhost: x\r\ncontent-length: ${BODY.length}\r\n\r\n${BODY}`),
    'HTTP/1.1 200',
  );
  const closed = once(first, 'close');
  t.is(await exchange(await open(), GET), 'HTTP/1.1 200');
  await closed;
});
