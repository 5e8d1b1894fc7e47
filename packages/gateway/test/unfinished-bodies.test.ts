/** What becomes of request bodies that stop short of their end. */
import test from 'ava';
import { configuration, Harness } from './harness.js';
import { success, type RawResponder } from './raw-backend.js';
import { sendUnfinishedBody, until, type UnfinishedBody } from './unfinished-body.js';

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

// Bodies that had stopped short of their end kept the memory for bodies, and every other body was refused.
test('a stalled body is refused as not run when another one needs its memory', async (t) => {
  const harness = await Harness.start({}, [answer]);
  t.teardown(() => harness.stop());
  const held = { announcedBytes: 65_000, sentBytes: 64_999 };
  const stalled: UnfinishedBody[] = [];
  for (const id of ['a1', 'a2', 'a3']) stalled.push(await sendUnfinishedBody(t, harness.port, id, held));
  await until(() => harness.bodyMemory.reservedBytes === 3 * held.announcedBytes);
  let status = 503;
  for (let calls = 0; status === 503; calls += 1) {
    ({ status } = await harness.call(`b${calls}`, '/x/', 'x'.repeat(60_000)));
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
  t.is(status, 200);
  await until(() => stalled.some(({ answer: answered }) => answered() !== ''));
  const answers = stalled.map(({ answer: answered }) => answered());
  t.regex(answers.find((text) => text !== '') ?? '', /^HTTP\/1\.1 503 [^]*retry-after: /i);
  t.is(answers.filter((text) => text !== '').length, 1, 'no more give way than are needed');
  t.is(harness.lines.filter((line) => line.includes('event=request.body-given-up')).length, 1);
  for (const { socket } of stalled) socket.destroy();
  await until(() => harness.bodyMemory.reservedBytes === 0);
});
