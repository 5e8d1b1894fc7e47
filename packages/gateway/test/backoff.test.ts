/**
 * Seen in operation: an engine turned a node's request away and wanted nothing more from that node for 3 s; three requests of the
 * node reached it in that time, where two are allowed. The same with another engine some seconds later.
 *
 * Which time a backend asks for was not read. Whoever chose engines preferred others for 1.5 s after a refusal, and gave the engine to the
 * same node again when it had what a request needed.
 * Proved by the nodes' lines: both engines were granted to the node 0.5 s and 2 s after they had turned it away, by a leader that
 * had been told of the refusals.
 * Shown by a backend that asks for a time while it would be chosen otherwise, as the other one is slower.
 */
import test, { type ExecutionContext } from 'ava';
import { Harness } from './harness.js';
import { success, type RawAnswer } from './raw-backend.js';

const CALLS = 20;
/** Longer than any of these tests takes. */
const LONG_MS = 60_000;
const SLOW_MS = 15;

function refusal(id: string, backoffMs: number): string {
  return `HTTP/1.1 503 Full\r\nattempt-id: ${id}\r\nnot-run: 1\r\nbackoff: ${backoffMs}\r\ncontent-length: 0\r\n\r\n`;
}

async function startBeside(t: ExecutionContext, refusing: RawAnswer): Promise<Harness> {
  const slow: RawAnswer = (socket, id) => setTimeout(() => socket.write(success(id, 'slow')), SLOW_MS);
  const harness = await Harness.start({}, [refusing, slow]);
  t.teardown(() => harness.stop());
  return harness;
}

test('a backend that asked for a time gets no request from this node in it, and callers are served', async (t) => {
  const harness = await startBeside(t, (socket, id) => socket.write(refusal(id, LONG_MS)));
  const statuses = new Set<number>();
  for (let index = 0; index < CALLS; index += 1) statuses.add((await harness.call(`a${index}`)).status);
  t.is(harness.backends[0]?.heads.length, 1);
  t.deepEqual(statuses, new Set([200]));
});
