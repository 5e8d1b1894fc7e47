import { SystemClock } from '@canvasridge/clock';
import test from 'ava';
import { callNode } from './harness.js';
import { success } from './raw-backend.js';
import { startFleet } from './running-node.js';

/** One more than the slots of the backend, so that its slots are granted. */
const NODES = 5;
const POLL_MS = 100;
const POLLS = 150;

test('Nodes of a fleet with more nodes than slots elect a leader, which grants the requests of all', async (t) => {
  t.timeout(60_000);
  const { nodes } = await startFleet(t, { nodes: NODES, backends: 1 }, {}, (socket, id) =>
    socket.write(success(id, 'answer')),
  );
  const clock = new SystemClock();
  const isGranted = (lines: readonly string[]): boolean =>
    lines.some((line) => line.includes('event=request.finished') && line.includes('how=granted'));
  let call = 0;
  for (let poll = 0; poll < POLLS && !nodes.every(({ lines }) => isGranted(lines)); poll += 1) {
    await clock.sleep(POLL_MS);
    for (const { port } of nodes) t.is((await callNode(port, `call-${(call += 1)}`)).status, 200);
  }
  t.true(nodes.every(({ lines }) => isGranted(lines)));
  const leaders = nodes.filter(({ lines }) => lines.some((line) => line.includes('event=slot.granted')));
  t.is(leaders.length, 1);
});
