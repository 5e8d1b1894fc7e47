/**
 * Seen in operation: requests reached an engine up to 5 s after the node that sent them had passed on an answer in which that
 * engine said that it leaves; 2 s are allowed. Eleven in all, from five nodes.
 *
 * The store was down when the engine began to leave, so its entry went on to say that it is ready for 13 s. What an engine says
 * of itself in its answers was not read: the list was the only way in which a node heard of a leaving.
 * Proved by the nodes' lines: every send was granted at once, the list 2.5 to 9.5 s old, and none was turned back by anything.
 * Shown by a backend that says so in each answer while it stays listed as ready.
 */
import test, { type ExecutionContext } from 'ava';
import { Harness, SERVICE } from './harness.js';
import { success, type RawAnswer } from './raw-backend.js';

const LEAVING = 'leaving: 1\r\n';
const CALLS = 20;
const SLOW_MS = 15;

/** Two backends: one that leaves, and one that stays, which is slower and so is chosen less. */
async function startTwo(t: ExecutionContext, leaving: RawAnswer): Promise<Harness> {
  const staying: RawAnswer = (socket, id) => setTimeout(() => socket.write(success(id, 'stays')), SLOW_MS);
  const harness = await Harness.start({}, [leaving, staying]);
  t.teardown(() => harness.stop());
  return harness;
}

/** Sends requests until one has reached the first backend, and as many more; gives how many reached that one. */
async function callOn(harness: Harness, prefix: string): Promise<number> {
  const [leaving] = harness.backends;
  for (let index = 0; leaving?.heads.length === 0 && index < CALLS; index += 1) {
    await harness.call(`${prefix}-first-${index}`);
  }
  for (let index = 0; index < CALLS; index += 1) await harness.call(`${prefix}-${index}`);
  return leaving?.heads.length ?? 0;
}

const answers: readonly (readonly [name: string, answer: RawAnswer])[] = [
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

test('a backend that says in an answer that it leaves gets no request after that, whatever the answer and the list', async (t) => {
  for (const [name, answer] of answers) {
    const harness = await startTwo(t, answer);
    t.is(await callOn(harness, 'a'), 1, name);
    const entry = harness.backends[0]?.description('i1', SERVICE);
    if (entry === undefined) throw new Error('no backend');
    harness.fleet.applyBackend(50, { ...entry, slots: 5 });
    t.is(await callOn(harness, 'b'), 1, `${name}; its entry was written again`);
    harness.fleet.removeBackend(60, 'i1');
    harness.fleet.applyBackend(70, entry);
    t.is(await callOn(harness, 'c'), 1, `${name}; its entry lapsed and came back`);
  }
});
