/** Of too many connections, silent ones give way first and members last. */
import test from 'ava';
import { IncomingConnections } from '../src/peers/incoming-connections.js';

const FIRST_BYTE_MS = 1000;

/** Names that begin with `member` are members. */
function connections(maxConnections: number): IncomingConnections<string> {
  const isMember = (name: string): boolean => name.startsWith('member');
  return new IncomingConnections({ maxConnections, firstByteMs: FIRST_BYTE_MS, isMember });
}

test('as many as allowed are kept, and one that ends makes room', (t) => {
  const kept = connections(2);
  t.is(kept.add('a', 0), undefined);
  t.is(kept.add('b', 0), undefined);
  kept.remove('a');
  t.is(kept.add('c', 0), undefined);
  t.deepEqual([...kept], ['b', 'c']);
});

test('of too many the oldest silent one gives way, then the oldest of no member, then the oldest', (t) => {
  const kept = connections(5);
  for (const name of ['member-1', 'speaking-1', 'speaking-2', 'silent-1', 'silent-2']) kept.add(name, 0);
  for (const name of ['member-1', 'speaking-1', 'speaking-2']) kept.heard(name);
  const givingWay = ['member-2', 'member-3', 'member-4', 'member-5', 'member-6'].map((name) => {
    const gone = kept.add(name, 0);
    kept.heard(name);
    return gone;
  });
  t.deepEqual(givingWay, ['silent-1', 'silent-2', 'speaking-1', 'speaking-2', 'member-1']);
  t.is(kept.size, 5);
});

// Guards against a crowd of strangers that keeps nodes out.
test('a stranger gives way itself if all others are members', (t) => {
  const kept = connections(2);
  kept.add('member-1', 0);
  kept.add('member-2', 0);
  t.is(kept.add('stranger', 0), 'stranger');
  t.deepEqual([...kept], ['member-1', 'member-2']);
});

test('a connection on which nothing came in time is overdue once', (t) => {
  const kept = connections(9);
  kept.add('silent', 0);
  kept.add('speaking', 0);
  kept.add('new', 1);
  kept.heard('speaking');
  t.deepEqual(kept.takeOverdue(FIRST_BYTE_MS - 1), []);
  t.deepEqual(kept.takeOverdue(FIRST_BYTE_MS), ['silent']);
  t.deepEqual(kept.takeOverdue(FIRST_BYTE_MS), []);
  kept.heard('silent'); // it is closed already
  t.deepEqual([...kept], ['new', 'speaking']);
});
