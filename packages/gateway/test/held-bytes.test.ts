/** Over a budget, holders of most give way first, and trusted ones last. */
import test from 'ava';
import { HeldBytes } from '../src/peers/held-bytes.js';

const MAX_BYTES = 100;

function budget(...trusted: readonly string[]): HeldBytes<string> {
  return new HeldBytes(MAX_BYTES, (holder) => trusted.includes(holder));
}

test('nobody gives way within the budget, whatever was held before', (t) => {
  const held = budget();
  t.deepEqual(held.set('a', 60), []);
  t.deepEqual(held.set('a', 40), []);
  t.deepEqual(held.set('b', 60), []);
  held.remove('b');
  held.remove('unknown');
  t.deepEqual(held.set('c', 60), []);
  t.is(held.totalBytes, MAX_BYTES);
});

test('the holder of most gives way, which may be the one that grows', (t) => {
  const held = budget();
  held.set('small', 10);
  held.set('large', 60);
  t.deepEqual(held.set('small', 50), ['large']);
  t.deepEqual(held.set('small', 101), ['small']);
  t.is(held.totalBytes, 0);
});

test('as many give way as it takes', (t) => {
  const held = budget('member');
  held.set('a', 30);
  held.set('b', 20);
  held.set('c', 10);
  t.deepEqual(held.set('member', 85), ['a', 'b']);
});

test('a trusted holder gives way only if no other one is left', (t) => {
  const held = budget('member', 'other-member');
  held.set('member', 60);
  held.set('stranger', 1);
  t.deepEqual(held.set('other-member', 50), ['stranger', 'member']);
  t.is(held.totalBytes, 50);
});
