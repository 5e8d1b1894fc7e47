/** A crowd that does at once what the other tests of this folder do one by one. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import test from 'ava';
import { Crowd, chunk, chunkedHead, getRequest, send } from './crowd.js';
import { CrowdedNode } from './node-process.js';

const MACHINE_BYTES = 250 * 1024 * 1024;
/** 4,100 of the machine without the 200 for files. */
const MACHINE_DESCRIPTORS = 3900;
const NODE_FLAGS = ['--max-old-space-size=128', '--max-semi-space-size=2'];
/** Clients of each kind. */
const CLIENTS = 600;
const AT_A_TIME = 50;
const ANSWER_BYTES = 8 * 1024 * 1024;
const LARGE_CHUNKS = 15;
const LARGE_CHUNK_BYTES = 65_536;
const TINY_CHUNKS = 3000;

const LONG_ANSWER = Buffer.alloc(ANSWER_BYTES);

function answer(incoming: IncomingMessage, outgoing: ServerResponse): void {
  incoming.resume();
  outgoing.end(incoming.url === '/long' ? LONG_ANSWER : 'done');
}

/** What a client sends, by its kind. */
const KINDS = [
  chunkedHead() + chunk(LARGE_CHUNK_BYTES).repeat(LARGE_CHUNKS),
  chunkedHead() + chunk(1).repeat(TINY_CHUNKS),
  getRequest('/long').repeat(3),
  '',
];

// Bounds for each kind of crowd have to fit into the machine together.
test.serial(
  'a crowd of all kinds leaves a node of the product within its memory and descriptors',
  async (t) => {
    const node = await CrowdedNode.start(t, { nodeFlags: NODE_FLAGS, backEnds: [answer, answer] });
    const crowd = new Crowd(t);
    for (let started = 0; started < CLIENTS; started += AT_A_TIME)
      await Promise.all(
        Array.from({ length: AT_A_TIME }, () => KINDS)
          .flat()
          .map(async (text) => {
            const socket = await crowd.open(node.callers);
            socket.pause();
            await send(socket, text);
          }),
      );
    t.is(await node.call(), 200);
    t.log(`${node.openDescriptors} descriptors`, `${node.residentPeakBytes} bytes at the peak`);
    t.true(node.openDescriptors < MACHINE_DESCRIPTORS, `${node.openDescriptors} descriptors`);
    t.true(node.residentPeakBytes < MACHINE_BYTES, `${node.residentPeakBytes} bytes`);
  },
);
