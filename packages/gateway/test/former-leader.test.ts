import test from 'ava';
import { FormerLeader, type LeaderLiveness } from '../src/cluster/former-leader.js';

type Process = ReturnType<LeaderLiveness['processOf']>;

function newSight(): LeaderLiveness & { process: Process; heard: boolean } {
  const sight = {
    heard: false,
    heardRecently: () => sight.heard,
    selfId: 'self',
    process: { token: 'first', state: 'alive' } as Process,
    processOf: () => sight.process,
  };
  return sight;
}

const cases: readonly (readonly [name: string, now: Process, gone: boolean])[] = [
  ['is alive', { token: 'first', state: 'alive' }, false],
  ['is suspected, which it may refute', { token: 'first', state: 'suspect' }, false],
  ['is believed dead', { token: 'first', state: 'dead' }, true],
  ['said that it stops', { token: 'first', state: 'draining' }, true],
  ['has left', { token: 'first', state: 'left' }, true],
  ['was replaced by a new process', { token: 'second', state: 'alive' }, true],
  ['was forgotten', undefined, true],
];

for (const [name, now, gone] of cases) {
  test(`a former leader that ${name} is ${gone ? 'gone' : 'not gone'}`, (t) => {
    const sight = newSight();
    const former = new FormerLeader(sight);
    former.recordLeader('other');
    sight.process = now;
    t.is(former.isGone(), gone);
  });
}

test('where no leader was seen, or only this node led, nobody is known to be gone', (t) => {
  const former = new FormerLeader(newSight());
  t.false(former.isGone());
  former.recordLeader(undefined);
  former.recordLeader('self');
  t.false(former.isGone());
});

test('a former leader that is believed dead and still sends is not gone', (t) => {
  const sight = newSight();
  const former = new FormerLeader(sight);
  former.recordLeader('other');
  sight.process = { token: 'first', state: 'dead' };
  sight.heard = true;
  t.false(former.isGone());
  sight.heard = false;
  t.true(former.isGone());
});
