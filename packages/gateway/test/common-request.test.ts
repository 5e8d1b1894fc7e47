/**
 * Seen in soaks: all runners broke off what they ran at one moment, and a request that all callers of a tenant
 * send in the same form was refused for an hour at every node, as if it had crashed them.
 */
import type { Socket } from 'node:net';
import test from 'ava';
import { callNode } from './harness.js';
import { success, type RawResponder } from './raw-backend.js';
import { startFleet } from './running-node.js';

const NODES = 4;
const CALLS_PER_NODE = 4;
/** Far more than a trial and the news of it need, even on a busy machine. */
const MAX_WAIT_MS = 30_000;
const POLL_MS = 100;

// Guards against refusing a common request long after all backends broke off its runs at one moment.
test('a common request is served again at all nodes after all backends broke off its runs', async (t) => {
  t.timeout(90_000);
  let isHolding = false;
  const held: Socket[] = [];
  const answer: RawResponder = (socket, attemptId) => {
    if (isHolding) held.push(socket);
    else socket.write(success(attemptId, 'answer'));
  };
  const fleet = await startFleet(t, { nodes: NODES, backends: 6 }, { attempts: 1 }, answer);
  let calls = 0;
  const call = async (index: number): Promise<number> => {
    calls += 1;
    const { status } = await callNode(fleet.nodes[index]?.port ?? 0, `c${calls}`, { body: 'common' });
    return status;
  };
  for (let index = 0; index < NODES; index += 1) t.is(await call(index), 200);

  isHolding = true;
  const interrupted = Array.from({ length: NODES * CALLS_PER_NODE }, (_, index) => call(index % NODES));
  for (let waitedMs = 0; held.length < interrupted.length && waitedMs < MAX_WAIT_MS; waitedMs += POLL_MS)
    await pause(POLL_MS);
  isHolding = false;
  for (const socket of held) socket.destroy();
  await Promise.all(interrupted);

  const isQuarantined = (): boolean =>
    fleet.nodes.some(({ lines }) => lines.some((line) => line.includes('request.quarantined')));
  for (let waitedMs = 0; !isQuarantined() && waitedMs < MAX_WAIT_MS; waitedMs += POLL_MS)
    await pause(POLL_MS);
  t.true(isQuarantined(), 'the interruptions were counted');
  const refused = new Set(Array.from({ length: NODES }, (_, index) => index));
  for (let waitedMs = 0; refused.size > 0 && waitedMs < MAX_WAIT_MS; waitedMs += POLL_MS) {
    await pause(POLL_MS);
    for (const index of refused) if ((await call(index)) === 200) refused.delete(index);
  }
  t.deepEqual([...refused], [], 'nodes that still refuse it');
});

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
