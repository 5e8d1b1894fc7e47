/**
 * Seen in operation: one request ended a dozen engines, one after another. Each that began to run it ended, and was back some
 * seconds later, as another process, for the next time.
 *
 * A request whose backend breaks off was taken for one that is struck by the backend's fault, so it was sent to another
 * backend at once. When it came again, with the same path, caller and body, but as an attempt of its own and to another
 * node, nothing told that it was known. Shown by backends that break off each time they get that request, and serve all others.
 */
import test, { type ExecutionContext } from 'ava';
import { callNode } from './harness.js';
import { success, type RawAnswer } from './raw-backend.js';
import { startFleet, type RunningFleet } from './running-node.js';

const ENDING = 'ends its backend';
const BACKENDS = 12;
/** After so many backends have ended under it, a request is not sent any more. */
const ENOUGH = 3;
/** Long beyond what nodes need to tell one another, also on a machine with much else to do. */
const MOST_WAIT_MS = 10_000;

/** Backends of which each ends for good when it gets the request that ends backends. */
function startEndingFleet(t: ExecutionContext, nodes: number): Promise<RunningFleet> {
  const answer: RawAnswer = (socket, attemptId, head) => {
    if (!/^what: ending/im.test(head)) {
      socket.write(success(attemptId, 'answer'));
      return;
    }
    const { localPort } = socket;
    void fleet.then(({ backends }) => backends.find(({ port }) => port === localPort)?.stop());
    socket.destroy();
  };
  const fleet = startFleet(t, { nodes, backends: BACKENDS }, { attempts: 1 }, answer);
  return fleet;
}

/** Requests that reached any backend, by what they are. */
function sends(fleet: RunningFleet, what: string): number {
  const heads = fleet.backends.flatMap((backend) => backend.heads);
  return heads.filter((head) => head.includes(`what: ${what}`)).length;
}

function call(
  fleet: RunningFleet,
  node: number,
  attemptId: string,
  what: string,
): Promise<{ status: number }> {
  const port = fleet.nodes[node % fleet.nodes.length]?.port ?? 0;
  return callNode(port, attemptId, { body: what === 'ending' ? ENDING : 'sound', headers: { what } });
}

/** Waits until all nodes have said that a request is not sent any more, or for as long as they may need to. */
async function untilToldEverywhere(fleet: RunningFleet): Promise<void> {
  for (let waitedMs = 0; waitedMs < MOST_WAIT_MS; waitedMs += 50) {
    if (fleet.nodes.every(({ lines }) => lines.some((line) => line.includes('request.quarantined')))) return;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
}

test('a request under which three backends have ended is sent to no other, at whichever node it comes', async (t) => {
  t.timeout(60_000);
  const fleet = await startEndingFleet(t, 4);
  for (let index = 0; index < ENOUGH; index += 1) {
    t.is((await call(fleet, index, `e${index}`, 'ending')).status, 502);
  }
  await untilToldEverywhere(fleet);
  const statuses = { ending: new Set<number>(), sound: new Set<number>() };
  for (let index = 0; index < 2 * fleet.nodes.length; index += 1) {
    statuses.ending.add((await call(fleet, index, `again${index}`, 'ending')).status);
    statuses.sound.add((await call(fleet, index, `sound${index}`, 'sound')).status);
  }
  t.is(sends(fleet, 'ending'), ENOUGH);
  t.deepEqual(statuses, { ending: new Set([503]), sound: new Set([200]) });
});

test('a node that starts later knows of it too', async (t) => {
  t.timeout(60_000);
  const fleet = await startEndingFleet(t, 2);
  for (let index = 0; index < ENOUGH; index += 1) await call(fleet, index, `e${index}`, 'ending');
  await untilToldEverywhere(fleet);
  const added = await fleet.add();
  await untilToldEverywhere(fleet);
  const seen = await callNode(added.port, 'late', { body: ENDING, headers: { what: 'ending' } });
  t.is(sends(fleet, 'ending'), ENOUGH);
  t.is(seen.status, 503);
});
