/** Requests that a client pipelines on one connection. */
import { once } from 'node:events';
import { createServer, type ServerResponse } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { MemoryBudget } from '../src/http/memory-budget.js';
import { MAX_WAITING, oneAtATime } from '../src/http/request-order.js';

const LIMIT_BYTES = 1024 * 1024;

interface Started {
  readonly url: string;
  readonly response: ServerResponse;
}

async function startServer(
  t: ExecutionContext,
  limitBytes = LIMIT_BYTES,
): Promise<{ started: Started[]; budget: MemoryBudget; open: () => Socket }> {
  const started: Started[] = [];
  const budget = new MemoryBudget({ limitBytes });
  const server = createServer(
    oneAtATime(({ url = '' }, response) => started.push({ url, response }), { budget }),
  );
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const open = (): Socket => connect(port, '127.0.0.1').on('error', () => undefined);
  return { started, budget, open };
}

function requests(count: number): string {
  return Array.from({ length: count }, (_, index) => `GET /${index} HTTP/1.1\r\nhost: h\r\n\r\n`).join('');
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 5));
}

// The work for all pipelined requests began at once, and what it wrote was queued without a bound.
test('pipelined requests are passed on one at a time and answered in order', async (t) => {
  const { started, budget, open } = await startServer(t);
  const client = open();
  let received = '';
  client.on('data', (part: Buffer) => (received += part.toString()));
  client.write(requests(3));
  for (const index of [0, 1, 2]) {
    await until(() => started.length === index + 1);
    t.is(budget.usedBytes > 0, index < 2);
    started.at(-1)?.response.end(`answer-${index}`);
    await until(() => received.includes(`answer-${index}`));
  }
  t.deepEqual(
    started.map(({ url }) => url),
    ['/0', '/1', '/2'],
  );
});

// A client that had left was not noticed by what answered the requests behind its first.
test('requests that wait on a connection are dropped when their client leaves', async (t) => {
  const { started, budget, open } = await startServer(t);
  const client = open();
  client.write(requests(3));
  await until(() => budget.usedBytes > 0);
  const closed = once(started[0]?.response as ServerResponse, 'close');
  client.destroy();
  await closed;
  await until(() => budget.usedBytes === 0);
  t.is(started.length, 1);
});

test('a connection on which too many requests wait is closed', async (t) => {
  const { started, budget, open } = await startServer(t);
  const client = open();
  client.write(requests(MAX_WAITING + 2));
  await once(client, 'close');
  await until(() => budget.usedBytes === 0);
  t.is(started.length, 1);
});

test('connections on which requests wait give way, the one that has waited longest first', async (t) => {
  const { started, budget, open } = await startServer(t, 20_000);
  const clients = [open(), open(), open()];
  const closed = once(clients[0] as Socket, 'close');
  for (const [index, client] of clients.entries()) {
    client.write(requests(2));
    await until(() => started.length === index + 1);
  }
  await closed;
  t.true(budget.usedBytes <= 20_000);
  t.false(clients[1]?.destroyed);
});
