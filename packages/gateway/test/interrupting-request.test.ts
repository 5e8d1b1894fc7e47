/**
 * Seen in production: one request crashed a dozen engines, one after another. Each engine that began to run
 * it crashed, and some seconds later had restarted as a new process and crashed again.
 *
 * A request whose backend crashed was taken for a victim of a backend fault, so it was sent to another
 * backend at once. When its caller sent it again, with the same path, caller and body but a new attempt id
 * and to another node, it was not recognized. The tests use backends that crash each time they get that
 * request, and serve all others.
 */
import test, { type ExecutionContext } from 'ava';
import { callNode } from './harness.js';
import { success, type RawResponder } from './raw-backend.js';
import { startFleet, type RunningFleet } from './running-node.js';

const CRASHING_BODY = 'ends its backend';
const BACKENDS = 12;
/** A request is not sent any more after this many backends crashed while they ran it. */
const QUARANTINE_THRESHOLD = 3;
/** Far more than nodes need to tell one another, even on a busy machine. */
const MAX_WAIT_MS = 10_000;

/** Starts backends that stop for good when they get the crashing request. */
function startCrashingFleet(t: ExecutionContext, nodes: number): Promise<RunningFleet> {
  const answer: RawResponder = (socket, attemptId, head) => {
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

/** Number of requests of one kind that reached any backend. */
function sends(fleet: RunningFleet, what: string): number {
  const heads = fleet.backends.flatMap((backend) => backend.requestHeads);
  return heads.filter((head) => head.includes(`what: ${what}`)).length;
}

function call(
  fleet: RunningFleet,
  node: number,
  attemptId: string,
  what: string,
): Promise<{ status: number }> {
  const port = fleet.nodes[node % fleet.nodes.length]?.port ?? 0;
  return callNode(port, attemptId, { body: what === 'ending' ? CRASHING_BODY : 'sound', headers: { what } });
}

/** Waits until every node has logged that a request is quarantined, or until the time for that is over. */
async function waitUntilQuarantinedEverywhere(fleet: RunningFleet): Promise<void> {
  for (let waitedMs = 0; waitedMs < MAX_WAIT_MS; waitedMs += 50) {
    if (fleet.nodes.every(({ lines }) => lines.some((line) => line.includes('request.quarantined')))) return;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
}

test('a request that has crashed three backends is sent to no other, whichever node gets it', async (t) => {
  t.timeout(60_000);
  const fleet = await startCrashingFleet(t, 4);
  for (let index = 0; index < QUARANTINE_THRESHOLD; index += 1) {
    t.is((await call(fleet, index, `e${index}`, 'ending')).status, 502);
  }
  await waitUntilQuarantinedEverywhere(fleet);
  const statuses = { ending: new Set<number>(), sound: new Set<number>() };
  for (let index = 0; index < 2 * fleet.nodes.length; index += 1) {
    statuses.ending.add((await call(fleet, index, `again${index}`, 'ending')).status);
    statuses.sound.add((await call(fleet, index, `sound${index}`, 'sound')).status);
  }
  t.is(sends(fleet, 'ending'), QUARANTINE_THRESHOLD);
  t.deepEqual(statuses, { ending: new Set([503]), sound: new Set([200]) });
});

test('a node that starts later knows of the quarantine too', async (t) => {
  t.timeout(60_000);
  const fleet = await startCrashingFleet(t, 2);
  for (let index = 0; index < QUARANTINE_THRESHOLD; index += 1)
    await call(fleet, index, `e${index}`, 'ending');
  await waitUntilQuarantinedEverywhere(fleet);
  const added = await fleet.add();
  await waitUntilQuarantinedEverywhere(fleet);
  const seen = await callNode(added.port, 'late', { body: CRASHING_BODY, headers: { what: 'ending' } });
  t.is(sends(fleet, 'ending'), QUARANTINE_THRESHOLD);
  t.is(seen.status, 503);
});
