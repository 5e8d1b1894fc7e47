import test from 'ava';
import { isSoleLeader } from '../src/cluster/sole-leader.js';

const SETTLED_AFTER_MS = 3200;
const LONG_AGO = { leadingSinceMs: 0, lastDisruptionMs: -Infinity, seesAll: true };
const NOW_MS = 20_000;

test('a leader of long standing that sees all others is the only one', (t) => {
  t.true(isSoleLeader(LONG_AGO, NOW_MS, SETTLED_AFTER_MS));
});

const unsure: readonly (readonly [name: string, change: Partial<typeof LONG_AGO>])[] = [
  ['leads only since a moment', { leadingSinceMs: NOW_MS - SETTLED_AFTER_MS }],
  ['does not see all others', { seesAll: false }],
  // Found on a drawn day: frozen for 5 s, it woke, still took itself for the leader, and ordered beside the new one.
  ['was paused just now', { lastDisruptionMs: NOW_MS - 60 }],
  ['was paused less than a lease ago', { lastDisruptionMs: NOW_MS - SETTLED_AFTER_MS }],
];

for (const [name, change] of unsure) {
  test(`a leader that ${name} may not be the only one`, (t) => {
    t.false(isSoleLeader({ ...LONG_AGO, ...change }, NOW_MS, SETTLED_AFTER_MS));
  });
}
