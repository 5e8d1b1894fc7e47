/** Crowds whose chunked bodies stop short of their end and stay open. */
import test, { type ExecutionContext } from 'ava';
import { Crowd, chunk, chunkedHead, send } from './crowd.js';
import { CrowdedNode, answerAtOnce } from './node-process.js';

/** Memory of the machine. */
const MACHINE_BYTES = 250 * 1024 * 1024;
const NODE_FLAGS = ['--max-old-space-size=128', '--max-semi-space-size=2'];
const LARGE = { clients: 300, chunks: 15, chunkBytes: 65_536 };
const TINY = { clients: 100, chunks: 30_000, chunkBytes: 1 };

async function sendUnfinished(
  t: ExecutionContext,
  node: CrowdedNode,
  { clients, chunks, chunkBytes }: typeof LARGE,
): Promise<void> {
  const crowd = new Crowd(t);
  const text = chunkedHead() + chunk(chunkBytes).repeat(chunks);
  const sockets = await Promise.all(Array.from({ length: clients }, () => crowd.open(node.callers)));
  await Promise.all(sockets.map((socket) => send(socket, text)));
}

// The node kept each unfinished body for as long as its connection stayed open, with no bound over all of them.
test.serial('unfinished bodies in large chunks leave a node of the product within its memory', async (t) => {
  const node = await CrowdedNode.start(t, { nodeFlags: NODE_FLAGS, backEnds: [answerAtOnce] });
  await sendUnfinished(t, node, LARGE);
  t.is(await node.call(), 200);
  t.log(`${node.residentPeakBytes} bytes at the peak`);
  t.true(node.residentPeakBytes < MACHINE_BYTES, `${node.residentPeakBytes} bytes`);
});

// Each chunk of a byte was kept as a buffer of its own, which takes some hundred times as much.
test.serial(
  'unfinished bodies in chunks of one byte leave a node of the product within its memory',
  async (t) => {
    const node = await CrowdedNode.start(t, { nodeFlags: NODE_FLAGS, backEnds: [answerAtOnce] });
    await sendUnfinished(t, node, TINY);
    t.is(await node.call(), 200);
    t.log(`${node.residentPeakBytes} bytes at the peak`);
    t.true(node.residentPeakBytes < MACHINE_BYTES, `${node.residentPeakBytes} bytes`);
  },
);
