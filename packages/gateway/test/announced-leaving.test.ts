/**
 * Seen in production: requests reached an engine up to 5 s after the node that sent them had forwarded a
 * response in which the engine announced that it was leaving; 2 s are allowed. Eleven requests from five
 * nodes were affected.
 *
 * The store was down when the engine began to leave, so its entry still said that it was ready for another
 * 13 s. Nodes ignored the announcement in the responses: the backend list was their only source for
 * departures. The log lines of the nodes confirmed it: every send was granted at once, with a list that was
 * 2.5 to 9.5 s old, and nothing refused any of them. The tests use a backend that announces its leaving in
 * each response while it stays listed as ready.
 */
import test, { type ExecutionContext } from 'ava';
import { Harness, SERVICE } from './harness.js';
import { success, type RawResponder } from './raw-backend.js';

const LEAVING = 'leaving: 1\r\n';
const CALLS = 20;
const SLOW_MS = 15;

/**
 * Starts two backends: one that is leaving, and a slower one that stays and is therefore chosen less often.
 */
async function startWithSlowBackend(t: ExecutionContext, leaving: RawResponder): Promise<Harness> {
  const staying: RawResponder = (socket, id) => setTimeout(() => socket.write(success(id, 'stays')), SLOW_MS);
  const harness = await Harness.start({}, [leaving, staying]);
  t.teardown(() => harness.stop());
  return harness;
}

/**
 * Sends requests until one has reached the leaving backend, and then CALLS more; returns how many reached
 * it.
 */
async function countSendsToLeaving(harness: Harness, prefix: string): Promise<number> {
  const [leaving] = harness.backends;
  for (let index = 0; leaving?.requestHeads.length === 0 && index < CALLS; index += 1) {
    await harness.call(`${prefix}-first-${index}`);
  }
  for (let index = 0; index < CALLS; index += 1) await harness.call(`${prefix}-${index}`);
  return leaving?.requestHeads.length ?? 0;
}

const responders: readonly (readonly [name: string, answer: RawResponder])[] = [
  ['a success', (socket, id) => socket.write(success(id, 'leaves', LEAVING))],
  [
    'a failure of its own',
    (socket, id) =>
      socket.write(
        `HTTP/1.1 500 Error\r\nattempt-id: ${id}\r\nresponse-stamp: s1\r\n${LEAVING}content-length: 0\r\n\r\n`,
      ),
  ],
  [
    'a refusal',
    (socket, id) =>
      socket.write(
        `HTTP/1.1 503 Full\r\nattempt-id: ${id}\r\nnot-run: 1\r\n${LEAVING}content-length: 0\r\n\r\n`,
      ),
  ],
];

test('a backend that announces its leaving in a response gets no further request, whatever the response status and the list say', async (t) => {
  for (const [name, answer] of responders) {
    const harness = await startWithSlowBackend(t, answer);
    t.is(await countSendsToLeaving(harness, 'a'), 1, name);
    const entry = harness.backends[0]?.description('i1', SERVICE);
    if (entry === undefined) throw new Error('no backend');
    harness.fleet.applyBackend(50, { ...entry, slots: 5 });
    t.is(await countSendsToLeaving(harness, 'b'), 1, `${name}; its entry was rewritten`);
    harness.fleet.removeBackend(60, 'i1');
    harness.fleet.applyBackend(70, entry);
    t.is(await countSendsToLeaving(harness, 'c'), 1, `${name}; its entry expired and came back`);
  }
});
