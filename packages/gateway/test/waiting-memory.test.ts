import test from 'ava';
import { WaitingMemory } from '../src/connections/waiting-memory.js';

const KB = 1024;

test('the connection whose waiting requests hold most is closed when there is no room for all', (t) => {
  const memory = new WaitingMemory<string>(100 * KB);
  t.is(memory.add('a', 30 * KB), undefined);
  t.is(memory.add('b', 50 * KB), undefined);
  t.is(memory.add('a', 10 * KB), undefined);
  t.is(memory.add('c', 20 * KB), 'b');
  memory.remove('b');
  t.is(memory.totalBytes, 60 * KB);
  t.is(memory.add('b', 40 * KB), undefined);
});

test('a connection is read on when fewer of its requests wait', (t) => {
  const memory = new WaitingMemory<string>(10_000 * KB);
  memory.add('a', 600 * KB);
  t.false(memory.isFull('a'));
  memory.add('a', 600 * KB);
  t.true(memory.isFull('a'));
  t.false(memory.isFull('b'));
  memory.release('a', 600 * KB);
  t.false(memory.isFull('a'));
});

test('what a removed connection releases later counts nothing', (t) => {
  const memory = new WaitingMemory<string>(100 * KB);
  memory.add('a', 40 * KB);
  memory.add('b', 10 * KB);
  memory.remove('a');
  memory.release('a', 40 * KB);
  t.is(memory.totalBytes, 10 * KB);
});
