/** Crowds that ask for long answers and read nothing of them, or leave before they were answered. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import test from 'ava';
import { Crowd, getRequest, send } from './crowd.js';
import { CrowdedNode, waitUntil } from './node-process.js';

const MACHINE_BYTES = 250 * 1024 * 1024;
const NODE_FLAGS = ['--max-old-space-size=128', '--max-semi-space-size=2'];
const ANSWER_BYTES = 8 * 1024 * 1024;
const SLOW_READERS = 1800;
const PIPELINING_CLIENTS = 20;
const PIPELINED_REQUESTS = 40;

/** A back end of long answers (`/long`) that counts those which have not ended. */
class LongAnswers {
  open = 0;
  readonly #body = Buffer.alloc(ANSWER_BYTES);

  readonly answer = (incoming: IncomingMessage, outgoing: ServerResponse): void => {
    incoming.resume();
    if (incoming.url !== '/long') {
      outgoing.end('done');
      return;
    }
    this.open += 1;
    outgoing.on('close', () => (this.open -= 1));
    outgoing.end(this.#body);
  };
}

async function settled(count: () => number): Promise<void> {
  for (let last = -1; last !== count();) {
    last = count();
    await new Promise((resolve) => setTimeout(resolve, 500));
  }
}

// What waited for slow readers had no bound over all of them.
test.serial('slow readers of long answers leave a node of the product within its memory', async (t) => {
  const backEnds = [new LongAnswers(), new LongAnswers(), new LongAnswers()];
  const node = await CrowdedNode.start(t, {
    nodeFlags: NODE_FLAGS,
    backEnds: backEnds.map(({ answer }) => answer),
  });
  const crowd = new Crowd(t);
  for (let started = 0; started < SLOW_READERS; started += 100)
    await Promise.all(
      Array.from({ length: 100 }, async () => {
        const socket = await crowd.open(node.callers);
        socket.pause();
        await send(socket, getRequest('/long'));
      }),
    );
  await settled(() => backEnds.reduce((total, { open }) => total + open, 0));
  t.is(await node.call(), 200);
  t.log(`${node.residentPeakBytes} bytes at the peak`);
  t.true(node.residentPeakBytes < MACHINE_BYTES, `${node.residentPeakBytes} bytes`);
});

// Answers to requests behind the first of a connection were not told that the client had left: their work stayed forever.
test.serial('pipelined requests of clients that left end at a node of the product', async (t) => {
  const backEnd = new LongAnswers();
  const node = await CrowdedNode.start(t, { nodeFlags: NODE_FLAGS, backEnds: [backEnd.answer] });
  const crowd = new Crowd(t);
  for (let client = 0; client < PIPELINING_CLIENTS; client += 1) {
    const socket = await crowd.open(node.callers);
    socket.pause();
    await send(socket, getRequest('/long').repeat(PIPELINED_REQUESTS));
  }
  await waitUntil(t, 'the node sent requests to the back end', () => backEnd.open > 0);
  await settled(() => backEnd.open);
  crowd.leave();
  await waitUntil(t, 'no request is left at the back end', () => backEnd.open === 0);
  t.is(await node.call(), 200);
  t.log(`${node.residentPeakBytes} bytes at the peak`);
  t.true(node.residentPeakBytes < MACHINE_BYTES, `${node.residentPeakBytes} bytes`);
});
