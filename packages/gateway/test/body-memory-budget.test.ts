import test from 'ava';
import { BodyMemoryBudget } from '../src/request/body-memory-budget.js';
import { Harness } from './harness.js';
import { success, type RawResponder } from './raw-backend.js';

const BODY = 'x'.repeat(60_000);

test('large bodies are refused before small ones, and released memory can be used again', (t) => {
  const budget = new BodyMemoryBudget(1_000_000);
  t.true(budget.reserve(700_000, 700_000));
  t.false(budget.reserve(100_000, 100_000), 'large bodies may use three quarters');
  t.true(budget.reserve(60_000, 60_000));
  t.true(budget.reserve(60_000, 60_000));
  budget.release(700_000);
  t.true(budget.reserve(100_000, 100_000));
  t.is(budget.reservedBytes, 220_000);
});

test('a request whose body exceeds the memory budget is refused as not run, and others are served', async (t) => {
  const held: (() => void)[] = [];
  const answer: RawResponder = (socket, id) => held.push(() => socket.write(success(id, 'done')));
  const harness = await Harness.start({}, [answer, answer, answer, answer]);
  t.teardown(() => harness.stop());
  const first = ['a', 'b', 'c'].map((id) => harness.call(id, '/x/', BODY));
  while (held.length < 3) await new Promise((resolve) => setTimeout(resolve, 5));
  const fourth = await harness.call('d', '/x/', BODY);
  t.is(fourth.status, 503);
  t.truthy(fourth.headers['retry-after']);
  for (const finish of held) finish();
  for (const { status } of await Promise.all(first)) t.is(status, 200);
  t.is(harness.bodyMemory.reservedBytes, 0, 'all memory is released');
  const after = harness.call('e', '/x/', BODY);
  while (held.length < 4) await new Promise((resolve) => setTimeout(resolve, 5));
  held[3]?.();
  t.is((await after).status, 200);
});
