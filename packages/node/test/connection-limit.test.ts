/** The bound on connections at an HTTP server. */
import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import type { LimitedEvents } from '@canvasridge/telemetry';
import test, { type ExecutionContext } from 'ava';
import { limitConnections } from '../src/http/connection-limit.js';

const LIMIT = 3;

async function startServer(
  t: ExecutionContext,
): Promise<{ server: Server; events: string[]; open: () => Promise<Socket> }> {
  const events: string[] = [];
  const server = createServer((_request, response) => response.end('done'));
  const log: Pick<LimitedEvents, 'event'> = { event: (_level, name) => events.push(name) };
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  limitConnections(server, LIMIT, 'callers', log);
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const open = async (): Promise<Socket> => {
    const socket = connect(port, '127.0.0.1').on('error', () => undefined);
    t.teardown(() => socket.destroy());
    await once(socket, 'connect');
    return socket;
  };
  return { server, events, open };
}

async function answerOn(socket: Socket): Promise<string> {
  socket.write('GET / HTTP/1.1\r\nhost: h\r\n\r\n');
  const [part] = (await once(socket, 'data')) as [Buffer];
  return part.toString();
}

// A crowd of silent connections could take all descriptors.
test('a connection that is kept after an answer stays when silent ones come, and those give way', async (t) => {
  const { events, open } = await startServer(t);
  const kept = await open();
  t.regex(await answerOn(kept), /^HTTP\/1\.1 200 /);
  const silent = [await open(), await open()];
  const closed = once(silent[0] as Socket, 'close');
  t.regex(await answerOn(await open()), /^HTTP\/1\.1 200 /);
  await closed;
  t.deepEqual(events, ['connection.gave-way']);
  t.regex(await answerOn(kept), /^HTTP\/1\.1 200 /);
});

// An error of the listening socket that nothing hears ends the process.
test('a server that could not accept a connection goes on', async (t) => {
  const { server, events, open } = await startServer(t);
  for (const code of ['EMFILE', 'ENFILE']) server.emit('error', Object.assign(new Error('accept'), { code }));
  t.deepEqual(events, ['connection.accept-failed', 'connection.accept-failed']);
  t.regex(await answerOn(await open()), /^HTTP\/1\.1 200 /);
});

// The end of a body that nobody read came after the answer, and the connection then counted as one with a running request.
test('connections that are idle after requests whose bodies were not read give way', async (t) => {
  const { events, open } = await startServer(t);
  const idle = [await open(), await open(), await open()];
  for (const socket of idle) t.regex(await answerOn(socket), /^HTTP\/1\.1 200 /);
  const closed = once(idle[0] as Socket, 'close');
  t.regex(await answerOn(await open()), /^HTTP\/1\.1 200 /);
  await closed;
  t.deepEqual(events, ['connection.gave-way']);
});
