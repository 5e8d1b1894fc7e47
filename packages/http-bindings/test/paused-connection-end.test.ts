/**
 * Guards against a connection that ends while its response waits for a slow reader: the HTTP client threw where nothing
 * caught it, which ended the process.
 */
import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { newHttpAgent } from '../src/http-agent.js';
import { streamExchange, type ExchangeEnd, type ExchangeFailure } from '../src/stream-exchange.js';

const HOST = '127.0.0.1';
/** Far more than the operating system buffers. */
const BODY_BYTES = 50_331_648;
const BODY = Buffer.alloc(BODY_BYTES, 'x');

const HEADS: Readonly<Record<string, string>> = {
  'ends with its connection': '',
  'is the last one of its connection': `connection: close\r\ncontent-length: ${BODY_BYTES}\r\n`,
};

type End = (socket: Socket, cancel: AbortController) => void;
const ENDS: Readonly<Record<string, End>> = {
  'the server resets its connection': (socket) => socket.resetAndDestroy(),
  'the server ends its connection': (socket) => socket.destroySoon(),
  'the request is cancelled': (_, cancel) => cancel.abort(),
};

/** A request whose reader takes one chunk and no more; `end` is called when the response is held up. */
async function exchange(t: ExecutionContext, head: string, end: End): Promise<ExchangeEnd | ExchangeFailure> {
  const cancel = new AbortController();
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n`);
      socket.write(BODY);
      setTimeout(() => end(socket, cancel), 300);
    });
  }).listen(0, HOST);
  await once(server, 'listening');
  t.teardown(() => server.close());
  const agent = newHttpAgent();
  t.teardown(() => agent.destroy());
  const { port } = server.address() as AddressInfo;
  const options = {
    origin: `http://${HOST}:${port}`,
    path: '/',
    method: 'GET',
    headers: {},
    body: undefined,
  };
  const stalled = new Promise<void>((resolve) => cancel.signal.addEventListener('abort', () => resolve()));
  setTimeout(() => cancel.abort(), 2000);
  return streamExchange(
    agent,
    { ...options, passesStatus: () => true },
    { start: () => undefined, write: () => false, waitForDrain: () => stalled },
    cancel.signal,
  );
}

for (const [which, head] of Object.entries(HEADS)) {
  for (const [event, end] of Object.entries(ENDS)) {
    test(`a response that ${which} is paused, and then ${event}`, async (t) => {
      const { kind } = await exchange(t, head, end);
      t.is(kind, 'failed');
    });
  }
}
