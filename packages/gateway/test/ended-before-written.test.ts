/**
 * Guards against requests that wait until they time out on a connection that the backend closed before they were written.
 *
 * A new connection belongs to nobody for two turns of the event loop. The end of the other side came in that time, was
 * read and was told to no one; the request was written to the half-open connection, on which nothing is read any more.
 */
import { socketAddress } from '@canvasridge/addresses';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { BackendConnection } from '../src/backends/backend-connection.js';

const TIMING = {
  connectTimeoutMs: 5000,
  defaultKeepAliveMs: 4000,
  keepAliveMarginMs: 600,
  maxKeepAliveMs: 60_000,
};
/** Long after an end that was noticed; only reached if the attempt hangs. */
const HANGS_MS = 3000;

async function listen(t: ExecutionContext, accept: (socket: Socket) => void): Promise<string> {
  const server: Server = createServer((socket) => {
    socket.on('error', () => undefined);
    accept(socket);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** How a request ends that is sent on a new connection. */
function send(t: ExecutionContext, address: string): Promise<string> {
  const connection = new BackendConnection(socketAddress(address), TIMING, () => undefined);
  t.teardown(() => connection.reset());
  return new Promise((resolve) => {
    const timer = setTimeout(() => resolve('hangs'), HANGS_MS);
    t.teardown(() => clearTimeout(timer));
    connection.send(() => ({ method: 'GET', path: '/', headers: [], body: null }), {
      onNotConnected: () => resolve('not sent'),
      onRequestStart: () => undefined,
      onResponseStart: () => resolve('answered'),
      onResponseError: () => resolve('failed'),
    });
  });
}

for (const how of ['destroy', 'end'] as const) {
  test(`a request does not wait on a connection that ended before it was written: ${how}`, async (t) => {
    const address = await listen(t, (socket) => {
      socket[how]();
    });
    t.not(await send(t, address), 'hangs');
  });
}
