/** Guards against responses that are held without a bound for clients which do not read them. */
import { connect, type Socket } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { Harness, HOST } from './harness.js';
import { chunk, streamHead, success, type RawResponder } from './raw-backend.js';

/** Two of them don't fit into the part of the harness's memory for what is kept of responses. */
const BODY = 'x'.repeat(4_000_000);
const FILLED_BYTES = 100_000;
const HEAD_END = '\r\n\r\n';
/** Longer than a client may take nothing before its response gives way to others. */
const STALL_MS = 1200;

const failure = (id: string): string =>
  `HTTP/1.1 500 Bad\r\nattempt-id: ${id}\r\nresponse-stamp: s1\r\ncontent-length: ${BODY.length}\r\n\r\n${BODY}`;

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Asks for a response and doesn't read it. */
function ask(t: ExecutionContext, { port }: Harness, id: string): Socket {
  const client = connect({ host: '127.0.0.1', port });
  client.on('error', () => undefined);
  client.pause();
  client.write(
    `POST /x/ HTTP/1.1\r\nhost: ${HOST}\r\nattempt-id: ${id}\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{}`,
  );
  t.teardown(() => client.destroy());
  return client;
}

/** Resolves when a connection has ended, however that came. */
function isClosed(socket: Socket): Promise<void> {
  return new Promise((resolve) => (socket.closed ? resolve() : socket.once('close', () => resolve())));
}

/** Reads what is left; resolves to the number of bytes of the body. */
async function bodyBytes(client: Socket): Promise<number> {
  let received = '';
  client.on('data', (bytes: Buffer) => (received += bytes.toString('latin1')));
  client.resume();
  await isClosed(client);
  return received.length - received.indexOf(HEAD_END) - HEAD_END.length;
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await sleep(5);
}

/** Takes memory for responses until one has given way. */
function fillUntilGivenWay({ responseMemory, lines }: Harness): void {
  const filler = responseMemory.open('filler', () => undefined);
  for (let bytes = 0; !lines.some((line) => line.includes('response.gave-way')); bytes += FILLED_BYTES)
    filler.keep(bytes);
  filler.release();
}

test('when the memory for responses runs out, the one whose client has read nothing for the longest time is cut', async (t) => {
  const answer: RawResponder = (socket, id) => socket.write(failure(id));
  const harness = await Harness.start({ kind: 'at-most-once', timeoutMs: 20_000 }, [answer]);
  t.teardown(() => harness.stop());
  const first = ask(t, harness, 'a1');
  await until(() => harness.sends === 1 && harness.picked === 0);
  const second = ask(t, harness, 'a2');
  await until(() => harness.sends === 2 && harness.picked === 0);
  t.true(harness.responseMemory.heldBytes > 0);
  await sleep(STALL_MS);
  fillUntilGivenWay(harness);
  t.true((await bodyBytes(first)) < BODY.length);
  t.is(await bodyBytes(second), BODY.length, 'the other one is kept');
  t.true(harness.lines.some((line) => line.includes('"request":"a1"')));
  await until(() => harness.responseMemory.heldBytes === 0);
  t.pass('all memory is given back');
});

test('a response that is being received gives way, and its backend is released', async (t) => {
  let backend: Socket | undefined;
  const harness = await Harness.start({ kind: 'stream', timeoutMs: 20_000 }, [
    (socket, id) => {
      backend = socket;
      const event = chunk(`data: ${'y'.repeat(65_000)}\n\n`);
      socket.write(streamHead(id));
      const send = (): void => {
        while (!socket.destroyed && socket.write(event));
      };
      socket.on('drain', send);
      send();
    },
  ]);
  t.teardown(() => harness.stop());
  const client = ask(t, harness, 'a1');
  await until(() => harness.responseMemory.heldBytes > 0);
  await sleep(STALL_MS);
  fillUntilGivenWay(harness);
  await until(() => backend?.closed === true && harness.picked === 0);
  t.true((await bodyBytes(client)) > 0);
  t.true(harness.lines.some((line) => line.includes('client does not read')));
  t.is(harness.responseMemory.heldBytes, 0);
});

test('failures that do not fit into memory are given up, and what fits is served', async (t) => {
  const held: (() => void)[] = [];
  const harness = await Harness.start({ kind: 'at-most-once', timeoutMs: 20_000 }, [
    (socket, id) => {
      if (id === 'small') return void socket.write(success(id, 'done'));
      const whole = failure(id);
      socket.write(whole.slice(0, -1));
      held.push(() => socket.write(whole.slice(-1)));
    },
  ]);
  t.teardown(() => harness.stop());
  const calls = ['a1', 'a2', 'a3'].map((id) => harness.call(id));
  const givenUp = await Promise.race(calls);
  t.is(givenUp.status, 502, 'it may have run');
  t.is((await harness.call('small')).status, 200);
  for (const finish of held) finish();
  const statuses = (await Promise.all(calls)).map(({ status }) => status);
  t.deepEqual(statuses.sort(), [500, 502, 502], 'they may use half of the memory');
  await until(() => harness.responseMemory.heldBytes === 0);
  t.pass('all memory is given back');
});

test('a response that its client does not read is cut at the timeout of its route, and its backend is released', async (t) => {
  let backend: Socket | undefined;
  const harness = await Harness.start({ kind: 'at-most-once', timeoutMs: 1000 }, [
    (socket, id) => {
      backend = socket;
      socket.write(`HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nresponse-stamp: s1\r\n\r\n`);
      const send = (): void => {
        while (!socket.destroyed && socket.write(BODY));
      };
      socket.on('drain', send);
      send();
    },
  ]);
  t.teardown(() => harness.stop());
  const client = ask(t, harness, 'a1');
  await until(() => backend?.closed === true);
  await until(() => harness.picked === 0 && harness.responseMemory.heldBytes === 0);
  t.true((await bodyBytes(client)) > 0);
});
