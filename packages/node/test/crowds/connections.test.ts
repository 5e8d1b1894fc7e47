/** Crowds that open connections and send nothing on them. */
import test from 'ava';
import { Crowd } from './crowd.js';
import { CrowdedNode, answerAtOnce } from './node-process.js';

const NODE_FLAGS = ['--max-old-space-size=128', '--max-semi-space-size=2'];
const MACHINE_BYTES = 250 * 1024 * 1024;
/** 4,100 of the machine without the 200 for files. */
const MACHINE_DESCRIPTORS = 3900;
const CLIENTS = 4400;
const AT_A_TIME = 200;

for (const door of ['callers', 'peers'] as const) {
  // Nothing bounded the connections: a process that has no descriptor left can open none to its engines and none for files.
  test.serial(`silent connections leave a node of the product descriptors (${door})`, async (t) => {
    const node = await CrowdedNode.start(t, { nodeFlags: NODE_FLAGS, backEnds: [answerAtOnce] });
    const crowd = new Crowd(t);
    for (let opened = 0; opened < CLIENTS; opened += AT_A_TIME)
      await Promise.all(Array.from({ length: AT_A_TIME }, () => crowd.open(node[door])));
    t.is(await node.call(), 200);
    t.log(`${node.openDescriptors} descriptors`);
    t.true(node.openDescriptors < MACHINE_DESCRIPTORS, `${node.openDescriptors} descriptors`);
    t.log(`${node.residentPeakBytes} bytes at the peak`);
    t.true(node.residentPeakBytes < MACHINE_BYTES, `${node.residentPeakBytes} bytes`);
  });
}
