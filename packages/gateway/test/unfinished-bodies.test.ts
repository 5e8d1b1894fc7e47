/** What becomes of request bodies that stop short of their end. */
import test from 'ava';
import { configuration, Harness } from './harness.js';
import { success, type RawResponder } from './raw-backend.js';
import { sendUnfinishedBody, until } from './unfinished-body.js';

const answer: RawResponder = (socket, id) => socket.write(success(id, 'answer'));
const PART = { announcedBytes: 50_000, sentBytes: 40_000 };

// It stayed reserved until the client closed its connection.
test('the memory for a body is free again when its request has timed out, though its client stays', async (t) => {
  const harness = await Harness.start({ timeoutMs: 50 }, [answer]);
  t.teardown(() => harness.stop());
  const { socket, answer: answered, isClosed } = await sendUnfinishedBody(t, harness.port, 'a1', PART);
  await until(() => answered() !== '');
  t.regex(answered(), /^HTTP\/1\.1 503 /);
  t.is(harness.bodyMemory.reservedBytes, 0);
  t.false(isClosed());
  socket.write('x');
  harness.fleet.applyConfiguration(configuration({}, undefined, 2));
  t.is((await harness.call('a2')).status, 200);
  t.is(harness.bodyMemory.reservedBytes, 0, 'what comes later is not kept');
});

test('the memory for a body is free again when its client leaves before its end', async (t) => {
  const harness = await Harness.start({}, [answer]);
  t.teardown(() => harness.stop());
  const { socket } = await sendUnfinishedBody(t, harness.port, 'a1', PART);
  await until(() => harness.bodyMemory.reservedBytes > 0);
  socket.resetAndDestroy();
  await until(() => harness.bodyMemory.reservedBytes === 0);
  t.is(harness.backends[0]?.requestHeads.length, 0);
});
