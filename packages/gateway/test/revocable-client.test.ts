/** Connections of a RevocableClient that end while requests are sent. */
import { socketAddress } from '@canvasridge/addresses';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import test from 'ava';
import { RevocableClient, type RequestHandler } from '../src/index.js';
import { success } from './raw-backend.js';

const REQUEST = { method: 'GET', path: '/x/' } as const;

// Guards against connections that are left open, and opened in place of them, when one ends as the next is opened.
test('a connection that is opened while the one before it ends is used and closed', async (t) => {
  const sockets = new Set<Socket>();
  let connections = 0;
  const server = createServer((socket) => {
    connections += 1;
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => sockets.delete(socket));
    // The first connection ends after its response.
    const isFirst = connections === 1;
    socket.on('data', () => {
      socket.write(success('a', 'answer'));
      if (isFirst) setImmediate(() => socket.end());
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close());

  let onEnd: () => void = () => undefined;
  const client = new RevocableClient({
    address: socketAddress(`127.0.0.1:${(server.address() as AddressInfo).port}`),
    connectTimeoutMs: 60_000,
    client: {},
    allowHalfOpen: true,
    // Before the HTTP client learns of the end.
    onConnected: (socket) => socket.once('end', () => onEnd()),
    onDisconnected: () => undefined,
  });
  const statusOf = (): Promise<number> =>
    new Promise((resolve, reject) => {
      let seen = 0;
      const handler: RequestHandler = {
        onRequestStart: () => undefined,
        onResponseStart: (_, status) => (seen = status),
        onResponseData: () => undefined,
        onResponseEnd: () => resolve(seen),
        onResponseError: (_, cause) => reject(cause),
        onNotConnected: reject,
      };
      client.send(() => REQUEST, handler);
    });
  const second = new Promise<number>((resolve, reject) => {
    onEnd = () => {
      onEnd = () => undefined;
      statusOf().then(resolve, reject);
    };
  });
  t.is(await statusOf(), 200);
  t.is(await second, 200);
  t.is(connections, 2);
  client.close();
  while (sockets.size > 0) await new Promise((resolve) => setImmediate(resolve));
});
