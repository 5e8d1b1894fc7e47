/** Answers that their clients don't read. */
import { once } from 'node:events';
import { createServer, type RequestListener } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { MemoryBudget } from '../src/http/memory-budget.js';
import { ResponseSink } from '../src/http/response-sink.js';
import { countUnsentEnds } from '../src/http/unsent-end.js';

/** Enough for two slow readers, not for three. */
const LIMIT_BYTES = 600_000;
const PART = Buffer.alloc(65_536);
/** An answer that is written at once; more than the buffers of the operating system hold. */
const WHOLE_BYTES = 20_000_000;
/** More than the buffers of the operating system hold. */
const PARTS = 500;

/** Writes a long answer in parts. */
function writeParts(unsent: MemoryBudget): RequestListener {
  return (_request, response) => {
    const sink = new ResponseSink(response, 'tell', unsent);
    sink.start(200, {});
    const work = async (): Promise<void> => {
      for (let part = 0; part < PARTS && !response.destroyed; part += 1)
        if (!sink.write(PART)) await sink.waitForDrain();
      sink.finish({ kind: 'completed' });
    };
    void work();
  };
}

async function startServer(
  t: ExecutionContext,
  limitBytes: number,
  newListener: (unsent: MemoryBudget) => RequestListener,
): Promise<{
  unsent: MemoryBudget;
  /** Asks for a long answer and reads nothing of it. */
  open: () => Socket;
  ended: string[];
}> {
  const unsent = new MemoryBudget({ limitBytes });
  const ended: string[] = [];
  const listener = newListener(unsent);
  const server = createServer((request, response) => {
    response.on('close', () => ended.push(request.url ?? ''));
    listener(request, response);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  let opened = 0;
  const open = (): Socket => {
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    socket.on('error', () => undefined);
    socket.pause();
    socket.write(`GET /${opened} HTTP/1.1\r\nhost: h\r\n\r\n`);
    opened += 1;
    t.teardown(() => socket.destroy());
    return socket;
  };
  return { unsent, open, ended };
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 5));
}

/** Resolves when all that the budget knows of have waited for a while. */
async function untilWaiting(unsent: MemoryBudget, clients: number): Promise<void> {
  for (let times = 0; times < 20; times += 1) {
    await until(() => unsent.usedBytes >= clients * 196_608);
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

// Parts of answers that waited for slow readers had no bound over all of them.
test('the slow reader that has kept its answer waiting for longest gives way to others', async (t) => {
  const { unsent, open, ended } = await startServer(t, LIMIT_BYTES, writeParts);
  open();
  await untilWaiting(unsent, 1);
  open();
  await untilWaiting(unsent, 2);
  open();
  await until(() => ended.length > 0);
  await untilWaiting(unsent, 2);
  t.deepEqual(ended, ['/0']);
  t.true(unsent.usedBytes <= LIMIT_BYTES);
});

test('memory for slow readers is free when they read on and when they leave', async (t) => {
  const { unsent, open, ended } = await startServer(t, LIMIT_BYTES, writeParts);
  const client = open();
  await untilWaiting(unsent, 1);
  client.resume();
  await until(() => ended.length === 1);
  t.is(unsent.usedBytes, 0);
  const leaving = open();
  await untilWaiting(unsent, 1);
  leaving.destroy();
  await until(() => ended.length === 2);
  t.is(unsent.usedBytes, 0);
});

// Answers that were written at once were not counted.
test('answers that were ended before their clients took them count, and the longest waiting gives way', async (t) => {
  const whole = Buffer.alloc(WHOLE_BYTES);
  const { unsent, open, ended } = await startServer(t, 2.5 * WHOLE_BYTES, (budget) =>
    countUnsentEnds((_request, response) => response.end(whole), budget),
  );
  open();
  await until(() => unsent.usedBytes > 0);
  const second = open();
  await until(() => unsent.usedBytes > WHOLE_BYTES);
  open();
  await until(() => ended.length === 1);
  second.resume();
  await until(() => ended.length === 2);
  t.deepEqual(ended, ['/0', '/1']);
  t.true(unsent.usedBytes <= WHOLE_BYTES + PART.length);
});
