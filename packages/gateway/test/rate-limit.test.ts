/**
 * Seen in production: an engine had announced a limit of 1.2 requests per second, and got 16 requests within
 * 4 s from nodes that had forwarded responses with that limit; 12 are allowed.
 *
 * Any number of nodes may send to a backend, and the limit that it announces applies to all of them
 * together. The limit was not read; and a node that had enforced it on its own requests alone would have
 * changed nothing, as none sent more than four of the requests in question. The log lines of the nodes
 * confirmed it: all of those requests were granted first sends, spread over nine nodes.
 */
import test, { type ExecutionContext } from 'ava';
import { Harness } from './harness.js';
import { success, type RawResponder } from './raw-backend.js';

const CALLS = 30;
/** So low that it allows far less than one request while a test runs. */
const LOW_LIMIT = 'rate-limit: 0.001\r\n';
/** Requests allowed after the first response, which announces the limit. */
const MAX_FURTHER_SENDS = 5;

const rateLimited: RawResponder = (socket, id) => socket.write(success(id, 'limited', LOW_LIMIT));

async function start(t: ExecutionContext, responders: readonly RawResponder[]): Promise<Harness> {
  const harness = await Harness.start({}, responders);
  t.teardown(() => harness.stop());
  return harness;
}

test('a backend with a rate limit gets no more than that; requests beyond it are refused at once', async (t) => {
  const harness = await start(t, [rateLimited]);
  const statuses: number[] = [];
  for (let index = 0; index < CALLS; index += 1) statuses.push((await harness.call(`a${index}`)).status);
  t.true(harness.sends >= 1 && harness.sends <= 1 + MAX_FURTHER_SENDS, `${harness.sends} arrived`);
  t.is(statuses.filter((status) => status === 200).length, harness.sends);
  t.is(statuses.filter((status) => status === 503).length, CALLS - harness.sends);
});

test('a caller refused for a rate limit is told when the limit allows more, as no other node can serve it sooner', async (t) => {
  const harness = await start(t, [rateLimited]);
  harness.hasOtherServingNodes = true;
  let seen = await harness.call('first');
  for (let index = 0; index < CALLS && seen.status === 200; index += 1)
    seen = await harness.call(`a${index}`);
  t.is(seen.status, 503);
  t.true(Number(seen.headers['retry-after']) > 1, `${seen.headers['retry-after']} s`);
});
