import { Random, VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import { LeaderQuorum, QUORUM_PERIOD_MS } from '../src/cluster/leader-quorum.js';

interface QuorumTest {
  readonly clock: VirtualClock;
  readonly quorum: LeaderQuorum;
  readonly asked: (readonly string[])[];
  readonly caughtUpWith: (readonly string[])[];
  /** Members that answer. */
  reachable: readonly string[];
}

function startTest(members: readonly string[]): QuorumTest {
  const clock = new VirtualClock();
  const state: QuorumTest = {
    clock,
    quorum: new LeaderQuorum({
      clock,
      random: new Random(1),
      members: () => members,
      ask: async (ids, timeoutMs) => {
        state.asked.push(ids);
        const answered = ids.filter((id) => state.reachable.includes(id));
        if (answered.length < ids.length) await clock.sleep(timeoutMs);
        return answered;
      },
      onReachableAgain: (ids) => state.caughtUpWith.push(ids),
    }),
    asked: [],
    caughtUpWith: [],
    reachable: members,
  };
  return state;
}

async function renewFor({ clock, quorum }: QuorumTest, durationMs: number): Promise<void> {
  const endMs = clock.now() + durationMs;
  while (clock.now() < endMs) {
    void quorum.renew();
    await clock.runUntil(clock.now() + QUORUM_PERIOD_MS / 4);
  }
}

test('there is no quorum before a majority has answered once', async (t) => {
  const state = startTest(['b', 'c', 'd']);
  t.is(state.quorum.ageMs, Infinity);
  await renewFor(state, 100);
  t.true(state.quorum.ageMs <= QUORUM_PERIOD_MS);
});

test('answers of half the nodes are not enough, and their age counts from the request, not from the answer', async (t) => {
  const state = startTest(['b', 'c', 'd']);
  await renewFor(state, 2000);
  state.reachable = ['b'];
  await renewFor(state, 2000);
  t.true(state.quorum.ageMs >= 2000);
  state.reachable = ['b', 'c'];
  await renewFor(state, 2000);
  t.true(state.quorum.ageMs <= 2 * QUORUM_PERIOD_MS);
});

test('a node that is reachable again catches up before answers count', async (t) => {
  const state = startTest(['b', 'c', 'd']);
  await renewFor(state, 1000);
  state.reachable = [];
  await renewFor(state, 2000);
  state.reachable = ['c', 'd'];
  await renewFor(state, 1.5 * QUORUM_PERIOD_MS);
  t.deepEqual(
    state.caughtUpWith.map((ids) => [...ids].sort()),
    [['c', 'd']],
  );
  t.true(state.quorum.ageMs >= 2000, 'the first answers do not count');
  await renewFor(state, 2 * QUORUM_PERIOD_MS);
  t.true(state.quorum.ageMs <= 2 * QUORUM_PERIOD_MS);
});

test('in a large fleet only a sample of the members is asked', async (t) => {
  const state = startTest(Array.from({ length: 300 }, (_, index) => `node-${index}`));
  await renewFor(state, 1000);
  t.true(state.asked.every((ids) => ids.length <= 12));
});

test('with two nodes none is asked, as one node is no majority', async (t) => {
  const state = startTest(['b']);
  await renewFor(state, 500);
  t.deepEqual(state.asked, []);
  t.true(state.quorum.ageMs <= QUORUM_PERIOD_MS);
});
