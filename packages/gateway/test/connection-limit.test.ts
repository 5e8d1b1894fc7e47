import test from 'ava';
import { ConnectionLimit } from '../src/connections/connection-limit.js';

test('the connection that has been silent longest gives way to a new one', (t) => {
  const limit = new ConnectionLimit<string>(3);
  for (const name of ['a', 'b', 'c']) t.is(limit.add(name), undefined);
  limit.requestArrives('a');
  limit.requestRead('a');
  limit.becomesIdle('a');
  t.deepEqual(limit.add('d'), { kind: 'idle', connection: 'b' });
  t.deepEqual(limit.add('e'), { kind: 'idle', connection: 'c' });
  t.deepEqual(limit.add('f'), { kind: 'idle', connection: 'a' });
  t.is(limit.size, 3);
});

test('a connection with a request in progress does not give way', (t) => {
  const limit = new ConnectionLimit<string>(2);
  limit.add('a');
  limit.add('b');
  limit.requestArrives('a');
  t.deepEqual(limit.add('c'), { kind: 'idle', connection: 'b' });
  limit.requestRead('a');
  limit.requestArrives('c');
  limit.requestRead('c');
  t.deepEqual(limit.add('d'), { kind: 'new', connection: 'd' });
  t.is(limit.size, 2);
});

test('where none is idle, the request that has been arriving longest gives way', (t) => {
  const limit = new ConnectionLimit<string>(3);
  for (const name of ['a', 'b', 'c']) {
    limit.add(name);
    limit.requestArrives(name);
  }
  limit.requestRead('a');
  t.deepEqual(limit.add('d'), { kind: 'arriving', connection: 'b' });
});

test('a connection that gave way or has ended takes no place, whatever its request does', (t) => {
  const limit = new ConnectionLimit<string>(1);
  limit.add('a');
  limit.add('b');
  limit.requestArrives('a');
  limit.becomesIdle('a');
  t.is(limit.size, 1);
  limit.remove('b');
  limit.requestRead('b');
  t.is(limit.size, 0);
  t.is(limit.add('c'), undefined);
});
