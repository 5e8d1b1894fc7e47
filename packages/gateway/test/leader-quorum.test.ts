import { Random, VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import { LeaderQuorum, QUORUM_PERIOD_MS } from '../src/cluster/leader-quorum.js';

interface Play {
  readonly clock: VirtualClock;
  readonly quorum: LeaderQuorum;
  readonly asked: (readonly string[])[];
  readonly caughtUpWith: (readonly string[])[];
  /** Members that answer. */
  inReach: readonly string[];
}

function play(members: readonly string[]): Play {
  const clock = new VirtualClock();
  const state: Play = {
    clock,
    quorum: new LeaderQuorum({
      clock,
      random: new Random(1),
      members: () => members,
      ask: async (ids, timeoutMs) => {
        state.asked.push(ids);
        const answered = ids.filter((id) => state.inReach.includes(id));
        if (answered.length < ids.length) await clock.sleep(timeoutMs);
        return answered;
      },
      onReachableAgain: (ids) => state.caughtUpWith.push(ids),
    }),
    asked: [],
    caughtUpWith: [],
    inReach: members,
  };
  return state;
}

async function renewFor({ clock, quorum }: Play, durationMs: number): Promise<void> {
  const endMs = clock.now() + durationMs;
  while (clock.now() < endMs) {
    void quorum.renew();
    await clock.runUntil(clock.now() + QUORUM_PERIOD_MS / 4);
  }
}

test('nothing is known before most have answered once', async (t) => {
  const state = play(['b', 'c', 'd']);
  t.is(state.quorum.ageMs, Infinity);
  await renewFor(state, 100);
  t.true(state.quorum.ageMs <= QUORUM_PERIOD_MS);
});

test('the answers of half are not enough, and age from the question, not from the answer', async (t) => {
  const state = play(['b', 'c', 'd']);
  await renewFor(state, 2000);
  state.inReach = ['b'];
  await renewFor(state, 2000);
  t.true(state.quorum.ageMs >= 2000);
  state.inReach = ['b', 'c'];
  await renewFor(state, 2000);
  t.true(state.quorum.ageMs <= 2 * QUORUM_PERIOD_MS);
});

test('a node that is back in reach catches up before it counts', async (t) => {
  const state = play(['b', 'c', 'd']);
  await renewFor(state, 1000);
  state.inReach = [];
  await renewFor(state, 2000);
  state.inReach = ['c', 'd'];
  await renewFor(state, 1.5 * QUORUM_PERIOD_MS);
  t.deepEqual(
    state.caughtUpWith.map((ids) => [...ids].sort()),
    [['c', 'd']],
  );
  t.true(state.quorum.ageMs >= 2000, 'not with the first answers');
  await renewFor(state, 2 * QUORUM_PERIOD_MS);
  t.true(state.quorum.ageMs <= 2 * QUORUM_PERIOD_MS);
});

test('in a large fleet only some are asked', async (t) => {
  const state = play(Array.from({ length: 300 }, (_, index) => `node-${index}`));
  await renewFor(state, 1000);
  t.true(state.asked.every((ids) => ids.length <= 12));
});

test('of two nodes none is asked, as neither is most', async (t) => {
  const state = play(['b']);
  await renewFor(state, 500);
  t.deepEqual(state.asked, []);
  t.true(state.quorum.ageMs <= QUORUM_PERIOD_MS);
});
