/**
 * Seen in operation: an engine had named a limit of 1.2 requests a second, and got 16 requests within 4 s from nodes that had passed
 * on answers with that limit; 12 are allowed.
 */
import test, { type ExecutionContext } from 'ava';
import { Harness } from './harness.js';
import { success, type RawAnswer } from './raw-backend.js';

const CALLS = 30;
const SLOW_MS = 15;
/** So low that what it allows while a test runs is far below one request. */
const LOW_LIMIT = 'rate-limit: 0.001\r\n';
/** Beyond the first answer, which tells of the limit. */
const MOST_AFTER = 5;

/** A backend that names a limit and would be chosen otherwise, as the other one is slower. */
async function startBeside(t: ExecutionContext, limited: RawAnswer): Promise<Harness> {
  const slow: RawAnswer = (socket, id) => setTimeout(() => socket.write(success(id, 'slow')), SLOW_MS);
  const harness = await Harness.start({}, [limited, slow]);
  t.teardown(() => harness.stop());
  return harness;
}

test('a backend that names a limit gets no more than that, and callers are served', async (t) => {
  const harness = await startBeside(t, (socket, id) => socket.write(success(id, 'limited', LOW_LIMIT)));
  const statuses = new Set<number>();
  for (let index = 0; index < CALLS; index += 1) statuses.add((await harness.call(`a${index}`)).status);
  const arrived = harness.backends[0]?.heads.length ?? 0;
  t.true(arrived >= 1 && arrived <= 1 + MOST_AFTER, `${arrived} arrived`);
  t.deepEqual(statuses, new Set([200]));
});
