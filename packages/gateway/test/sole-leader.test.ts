import test from 'ava';
import { isSoleLeader } from '../src/cluster/sole-leader.js';

const SETTLED_AFTER_MS = 3200;
const SETTLED_LEADER = { leadingSinceMs: 0, lastDisruptionMs: -Infinity, seesAll: true };
const NOW_MS = 20_000;

test('a node that has led for long and sees all others is the only leader', (t) => {
  t.true(isSoleLeader(SETTLED_LEADER, NOW_MS, SETTLED_AFTER_MS));
});

const unsettled: readonly (readonly [name: string, change: Partial<typeof SETTLED_LEADER>])[] = [
  ['has led only for a moment', { leadingSinceMs: NOW_MS - SETTLED_AFTER_MS }],
  ['does not see all others', { seesAll: false }],
  // Found with a randomly generated schedule: frozen for 5 s, a leader woke, still considered itself the
  // leader, and gave orders beside the new one.
  ['was paused just now', { lastDisruptionMs: NOW_MS - 60 }],
  ['was paused less than a lease ago', { lastDisruptionMs: NOW_MS - SETTLED_AFTER_MS }],
];

for (const [name, change] of unsettled) {
  test(`a leader that ${name} may not be the only one`, (t) => {
    t.false(isSoleLeader({ ...SETTLED_LEADER, ...change }, NOW_MS, SETTLED_AFTER_MS));
  });
}
