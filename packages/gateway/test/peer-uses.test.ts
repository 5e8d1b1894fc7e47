/** What a leader holds for a peer is counted until it is released, or the connection ends. */
import test from 'ava';
import { PeerUses } from '../src/cluster/peer-uses.js';
import type { PeerConnection } from '../src/peers/peer-connection.js';

const POOL = 'llm';

function newUses(): { readonly uses: PeerUses; readonly held: Map<PeerConnection, number> } {
  const held = new Map<PeerConnection, number>();
  return { uses: new PeerUses((peer, bytes) => held.set(peer, bytes)), held };
}

test('each use of a peer counts with its texts, and once', (t) => {
  const { uses, held } = newUses();
  const peer = {} as PeerConnection;
  uses.record(peer, { pool: POOL, requestId: 'a' }, 10_000);
  const one = held.get(peer) ?? 0;
  t.true(one >= 10_000);
  uses.record(peer, { pool: POOL, requestId: 'a' }, 10_000);
  t.is(held.get(peer), one);
  uses.record(peer, { pool: POOL, requestId: 'b' }, 10_000);
  t.is(held.get(peer), 2 * one);
});

test('a use that is released counts nothing, and an unknown one changes nothing', (t) => {
  const { uses, held } = newUses();
  const [peer, other] = [{} as PeerConnection, {} as PeerConnection];
  uses.record(peer, { pool: POOL, requestId: 'a' }, 100);
  uses.forget(other, 'a');
  uses.forget(peer, 'b');
  t.true((held.get(peer) ?? 0) > 0);
  uses.forget(peer, 'a');
  uses.forget(peer, 'a');
  t.is(held.get(peer), 0);
  t.false(held.has(other));
});

test('a peer whose connection ended starts from nothing', (t) => {
  const { uses, held } = newUses();
  const peer = {} as PeerConnection;
  uses.record(peer, { pool: POOL, requestId: 'a' }, 100);
  const one = held.get(peer);
  t.deepEqual(uses.takeAll(peer), [{ pool: POOL, requestId: 'a' }]);
  uses.record(peer, { pool: POOL, requestId: 'b' }, 100);
  t.is(held.get(peer), one);
});
