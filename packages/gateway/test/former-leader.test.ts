import test from 'ava';
import { FormerLeader, type LeaderLiveness } from '../src/cluster/former-leader.js';

type Process = ReturnType<LeaderLiveness['processOf']>;

function newLiveness(): LeaderLiveness & { process: Process; hasReceived: boolean } {
  const liveness = {
    hasReceived: false,
    receivedRecently: () => liveness.hasReceived,
    selfId: 'self',
    process: { token: 'first', state: 'alive' } as Process,
    processOf: () => liveness.process,
  };
  return liveness;
}

const cases: readonly (readonly [name: string, now: Process, gone: boolean])[] = [
  ['is alive', { token: 'first', state: 'alive' }, false],
  ['is suspected, which it may refute', { token: 'first', state: 'suspect' }, false],
  ['is considered dead', { token: 'first', state: 'dead' }, true],
  ['announced that it stops', { token: 'first', state: 'draining' }, true],
  ['has left', { token: 'first', state: 'left' }, true],
  ['was replaced by a new process', { token: 'second', state: 'alive' }, true],
  ['is no longer a known member', undefined, true],
];

for (const [name, now, gone] of cases) {
  test(`a former leader that ${name} is ${gone ? 'gone' : 'not gone'}`, (t) => {
    const liveness = newLiveness();
    const former = new FormerLeader(liveness);
    former.recordLeader('other');
    liveness.process = now;
    t.is(former.isGone(), gone);
  });
}

test('if no leader was seen, or only this node led, no former leader is gone', (t) => {
  const former = new FormerLeader(newLiveness());
  t.false(former.isGone());
  former.recordLeader(undefined);
  former.recordLeader('self');
  t.false(former.isGone());
});

test('a former leader that is considered dead but still sends is not gone', (t) => {
  const liveness = newLiveness();
  const former = new FormerLeader(liveness);
  former.recordLeader('other');
  liveness.process = { token: 'first', state: 'dead' };
  liveness.hasReceived = true;
  t.false(former.isGone());
  liveness.hasReceived = false;
  t.true(former.isGone());
});
