/**
 * Guards against a connection to a backend that ends while its response waits for a client that does not read: the HTTP
 * client threw where nothing caught it, which ended the process.
 */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { Harness, HOST } from './harness.js';

const BLOCK = Buffer.alloc(65_536, 'x');
/** Far more than the operating system buffers. */
const BODY_BYTES = 50_331_648;
const CLIENTS = 4;
const TIMEOUT_MS = 2000;

const HEADS: Readonly<Record<string, string>> = {
  'ends with its connection': '',
  'is the last one of its connection': `connection: close\r\ncontent-length: ${BODY_BYTES}\r\n`,
  'is chunked': 'transfer-encoding: chunked\r\n',
};

/** Sends a long response until nothing more is taken of it for a while. */
async function sendUntilHeldUp(socket: Socket, head: string, id: string): Promise<void> {
  socket.write(`HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nresponse-stamp: s1\r\n${head}\r\n`);
  const isChunked = head.includes('chunked');
  const block = isChunked ? Buffer.concat([Buffer.from('10000\r\n'), BLOCK, Buffer.from('\r\n')]) : BLOCK;
  let isHeldUp = false;
  for (let sent = 0; sent < BODY_BYTES && !isHeldUp; sent += BLOCK.length) {
    if (socket.write(block)) continue;
    const quiet = new Promise<boolean>((resolve) => setTimeout(() => resolve(true), 300));
    isHeldUp = await Promise.race([quiet, once(socket, 'drain').then(() => false)]);
  }
}

/** Asks for a response and doesn't read it. */
function ask(t: ExecutionContext, port: number, id: string): Socket {
  const client = connect({ host: '127.0.0.1', port });
  client.on('error', () => undefined);
  client.pause();
  client.write(`POST /x/ HTTP/1.1\r\nhost: ${HOST}\r\nattempt-id: ${id}\r\ncontent-length: 2\r\n\r\n{}`);
  t.teardown(() => client.destroy());
  return client;
}

type End = (client: Socket, backend: Socket) => void;
const ENDS: Readonly<Record<string, End>> = {
  'the client leaves': (client) => client.destroy(),
  'the backend resets its connection': (_, backend) => backend.resetAndDestroy(),
  'the backend ends its connection': (_, backend) => backend.end(),
  'the request times out': () => undefined,
};

for (const [which, head] of Object.entries(HEADS)) {
  for (const [event, end] of Object.entries(ENDS)) {
    test(`a response that ${which} is paused, and then ${event}`, async (t) => {
      const clients = new Map<string, Socket>();
      const sent: Promise<void>[] = [];
      const harness = await Harness.start(
        { kind: 'at-most-once', timeoutMs: event === 'the request times out' ? TIMEOUT_MS : 30_000 },
        [
          (socket, id) => {
            if (!clients.has(id)) return void socket.end();
            const send = async (): Promise<void> => {
              await sendUntilHeldUp(socket, head, id);
              end(clients.get(id) ?? socket, socket);
            };
            sent.push(send());
          },
        ],
      );
      t.teardown(() => harness.stop());
      for (let index = 0; index < CLIENTS; index += 1) {
        const id = `a${index}`;
        clients.set(id, ask(t, harness.port, id));
      }
      while (sent.length < CLIENTS) await new Promise((resolve) => setTimeout(resolve, 10));
      await Promise.all(sent);
      // What is read by then is passed on; then the rest is.
      for (const client of clients.values()) client.resume();
      for (const client of clients.values()) if (!client.closed) await once(client, 'close');
      t.pass('all connections have ended, and nothing was thrown');
    });
  }
}
