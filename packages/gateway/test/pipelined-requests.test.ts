/** Guards against pipelined requests that are served all at once, and go on when their client has left. */
import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { connect, type Socket } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { ClientServer, type ClientServerOptions } from '../src/client-server.js';

const HOST = '127.0.0.1';
const MANY_REQUESTS = 1000;
const LEFT_REQUESTS = 200;
const LONG_BODY_BYTES = 300_000;

interface Served {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

interface Rig {
  readonly server: ClientServer;
  readonly client: Socket;
  /** Requests that the listener got. */
  readonly served: Served[];
  readonly events: string[];
}

async function start(
  t: ExecutionContext,
  options: ClientServerOptions = {},
  answer: (served: Served) => void = () => undefined,
): Promise<Rig> {
  const served: Served[] = [];
  const events: string[] = [];
  const telemetry = { event: (_level: string, name: string) => events.push(name) };
  const server = new ClientServer(
    (request, response) => {
      served.push({ request, response });
      answer({ request, response });
    },
    telemetry,
    options,
  );
  const port = (await server.listen({ host: HOST, port: 0 }))._unsafeUnwrap();
  const client = connect({ host: HOST, port });
  client.on('error', () => undefined);
  t.teardown(() => {
    client.destroy();
    server.stopAccepting();
    server.closeAll();
  });
  return { server, client, served, events };
}

function get(path: string): string {
  return `GET ${path} HTTP/1.1\r\nhost: x\r\n\r\n`;
}

function post(path: string, body: string): string {
  return `POST ${path} HTTP/1.1\r\nhost: x\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

async function until(isReached: () => boolean): Promise<void> {
  while (!isReached()) await new Promise((resolve) => setTimeout(resolve, 5));
}

/** Paths that the bodies of the responses name, until there are so many. */
async function answeredPaths(client: Socket, count: number): Promise<string[]> {
  let text = '';
  client.on('data', (bytes) => (text += bytes.toString()));
  const paths = (): string[] => [...text.matchAll(/<(.*?)>/g)].map(([, path = '']) => path);
  await until(() => paths().length >= count || client.destroyed);
  return paths();
}

const answerPath = ({ request, response }: Served): void => {
  request.resume();
  request.on('end', () => setImmediate(() => response.end(`<${request.url}>`)));
};

test('a pipelined request is served when the response before it has been written', async (t) => {
  const { client, served, server } = await start(t);
  client.write(get('/1') + get('/2') + get('/3'));
  await until(() => server.openResponses === 3);
  t.is(served.length, 1);
  served[0]?.response.end('<1>');
  await until(() => served.length === 2);
  t.is(server.openResponses, 2);
  t.is(served[1]?.request.url, '/2');
});

test('many pipelined requests are answered in order', async (t) => {
  const { client } = await start(t, {}, answerPath);
  const paths = Array.from({ length: MANY_REQUESTS }, (_, index) => `/${index}`);
  client.write(paths.map(get).join(''));
  t.deepEqual(await answeredPaths(client, MANY_REQUESTS), paths);
});

// Reading pauses while they wait; each body has to be read in its turn.
test('pipelined requests with long bodies are answered in order', async (t) => {
  const { client, events } = await start(t, {}, answerPath);
  const paths = ['/1', '/2', '/3', '/4'];
  client.write(paths.map((path) => post(path, 'x'.repeat(LONG_BODY_BYTES))).join(''));
  t.deepEqual(await answeredPaths(client, paths.length), paths);
  t.deepEqual(events, []);
});

test('many pipelined requests with short bodies are answered in order', async (t) => {
  const { client, events } = await start(t, {}, answerPath);
  const paths = Array.from({ length: MANY_REQUESTS }, (_, index) => `/${index}`);
  client.write(paths.map((path) => post(path, 'body')).join(''));
  t.deepEqual(await answeredPaths(client, MANY_REQUESTS), paths);
  t.deepEqual(events, []);
});

test('requests that wait when their client leaves are not served, and the one before them ends', async (t) => {
  const { client, served, server } = await start(t);
  client.write(get('/').repeat(LEFT_REQUESTS));
  await until(() => server.openResponses === LEFT_REQUESTS);
  const [first] = served;
  if (first === undefined) return t.fail();
  const ended = once(first.response, 'close');
  client.destroy();
  await ended;
  await until(() => server.openResponses === 0);
  t.is(served.length, 1);
});

test('no pipelined request is served after a response that closes the connection', async (t) => {
  const { client, served } = await start(t);
  client.write(get('/1') + get('/2'));
  await until(() => served.length === 1);
  served[0]?.response.writeHead(200, { connection: 'close' }).end('<1>');
  client.resume();
  await once(client, 'close');
  t.is(served.length, 1);
});

test('a connection is closed when there is no room for its pipelined requests', async (t) => {
  const { client, served, server, events } = await start(t, { maxWaitingBytes: 20_000 });
  client.write(Array.from({ length: MANY_REQUESTS }, (_, index) => get(`/${index}`)).join(''));
  await once(client, 'close');
  t.is(served.length, 1);
  await until(() => server.openResponses === 0);
  t.deepEqual(events, ['connections.no-room-for-pipelined']);
});
