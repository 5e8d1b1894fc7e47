import test from 'ava';
import { BodyRoom } from '../src/request/body-room.js';
import { Harness } from './harness.js';
import { success, type RawAnswer } from './raw-backend.js';

const BODY = 'x'.repeat(60_000);

test('large bodies are shed before small ones, and room comes back', (t) => {
  const room = new BodyRoom(1_000_000);
  t.true(room.take(700_000, 700_000));
  t.false(room.take(100_000, 100_000), 'large ones have three quarters');
  t.true(room.take(60_000, 60_000));
  t.true(room.take(60_000, 60_000));
  room.giveBack(700_000);
  t.true(room.take(100_000, 100_000));
  t.is(room.heldBytes, 220_000);
});

test('a request whose body finds no room is told that it has not run, and others are served', async (t) => {
  const held: (() => void)[] = [];
  const answer: RawAnswer = (socket, id) => held.push(() => socket.write(success(id, 'done')));
  const harness = await Harness.start({}, [answer, answer, answer, answer]);
  t.teardown(() => harness.stop());
  const first = ['a', 'b', 'c'].map((id) => harness.call(id, '/x/', BODY));
  while (held.length < 3) await new Promise((resolve) => setTimeout(resolve, 5));
  const fourth = await harness.call('d', '/x/', BODY);
  t.is(fourth.status, 503);
  t.truthy(fourth.headers['retry-after']);
  for (const finish of held) finish();
  for (const { status } of await Promise.all(first)) t.is(status, 200);
  t.is(harness.bodyRoom.heldBytes, 0, 'all room is given back');
  const after = harness.call('e', '/x/', BODY);
  while (held.length < 4) await new Promise((resolve) => setTimeout(resolve, 5));
  held[3]?.();
  t.is((await after).status, 200);
});
