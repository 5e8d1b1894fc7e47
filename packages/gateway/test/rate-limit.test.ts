/**
 * Seen in operation: an engine had named a limit of 1.2 requests a second, and got 16 requests within 4 s from nodes that had passed
 * on answers with that limit; 12 are allowed.
 *
 * Any number of nodes may send to a backend, and a limit that a backend names in its answers is for all of them together. It was not
 * read; and a node that had kept it by what it sent itself would have changed nothing, as none of them sent more than four of
 * the requests in question.
 * Proved by the nodes' lines: all of those requests were first sends that had been granted, spread over nine nodes.
 */
import test, { type ExecutionContext } from 'ava';
import { Harness } from './harness.js';
import { success, type RawAnswer } from './raw-backend.js';

const CALLS = 30;
/** So low that what it allows while a test runs is far below one request. */
const LOW_LIMIT = 'rate-limit: 0.001\r\n';
/** Beyond the first answer, which tells of the limit. */
const MOST_AFTER = 5;

const limited: RawAnswer = (socket, id) => socket.write(success(id, 'limited', LOW_LIMIT));

async function start(t: ExecutionContext, answers: readonly RawAnswer[]): Promise<Harness> {
  const harness = await Harness.start({}, answers);
  t.teardown(() => harness.stop());
  return harness;
}

test('a backend that names a limit gets no more than that; what is left over is refused at once', async (t) => {
  const harness = await start(t, [limited]);
  const statuses: number[] = [];
  for (let index = 0; index < CALLS; index += 1) statuses.push((await harness.call(`a${index}`)).status);
  t.true(harness.sends >= 1 && harness.sends <= 1 + MOST_AFTER, `${harness.sends} arrived`);
  t.is(statuses.filter((status) => status === 200).length, harness.sends);
  t.is(statuses.filter((status) => status === 503).length, CALLS - harness.sends);
});

test('a caller that is refused for a limit is told when something is left of it, which no other node has sooner', async (t) => {
  const harness = await start(t, [limited]);
  harness.othersServe = true;
  let seen = await harness.call('first');
  for (let index = 0; index < CALLS && seen.status === 200; index += 1)
    seen = await harness.call(`a${index}`);
  t.is(seen.status, 503);
  t.true(Number(seen.headers['retry-after']) > 1, `${seen.headers['retry-after']} s`);
});
