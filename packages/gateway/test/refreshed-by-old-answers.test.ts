/**
 * Guards against requests that are sent with a list older than the drain bound because answers to old questions
 * counted as a refresh. A follower whose process was held up finds the answers to the questions of its last round
 * in its sockets, as old as the time for which it was held up. A sender that wants a newer list waits for these
 * in place of asking again, and then takes the readers as asked a moment ago.
 */
import { VirtualClock } from '@canvasridge/clock';
import { FleetState } from '@canvasridge/serving';
import test from 'ava';
import { StateFollower, type FollowRequest } from '../src/index.js';
import { DRAIN_MS, backend } from './followed-fleet.js';
import { BARE_CONFIGURATION, NOTHING_WAITS, followerOptions } from './follower-options.js';

const NODES = 40;
const HELD_UP_MS = 1.1 * DRAIN_MS;
/** Within this time a follower that gets no answer has asked each of its readers. */
const ASKS_ALL_MS = 0.25 * DRAIN_MS;

test('answers to questions from before a node was held up do not count as a refresh of its list', async (t) => {
  const clock = new VirtualClock();
  const ids = Array.from({ length: NODES }, (_, index) => `node-${index}`);
  const known = new FleetState();
  const own = new FleetState();
  for (const fleet of [known, own]) {
    fleet.applyConfiguration(BARE_CONFIGURATION);
    fleet.applyBackend(1, backend('x'));
  }
  const shared = { clock, ids, drainMs: DRAIN_MS, answer: () => undefined };
  const reader = new StateFollower(followerOptions({ ...shared, fleet: known, selfId: 'node-0' }));
  const unread: (() => void)[] = [];
  let isHeldUp = true;
  const call = (_method: string, params: unknown): Promise<unknown> => {
    const answer = reader.answer(params as FollowRequest, NOTHING_WAITS);
    if (!isHeldUp) return Promise.resolve(answer);
    return new Promise((resolve) => unread.push(() => resolve(answer)));
  };
  const follower = new StateFollower({
    ...followerOptions({ ...shared, fleet: own, selfId: ids.at(-1) ?? '' }),
    network: { to: () => ({ call }) },
  });
  reader.onStoreAnswered(clock.now());
  follower.onStoreAnswered(clock.now());
  follower.start();
  await clock.runUntil(ASKS_ALL_MS);
  known.applyBackend(2, backend('x', 'draining'));
  await clock.runUntil(ASKS_ALL_MS + HELD_UP_MS);
  reader.onStoreAnswered(clock.now());

  isHeldUp = false;
  const refreshed = follower.refreshIfOld();
  for (const read of unread) read();
  await refreshed;
  t.true(
    own.isLeaving('x') || follower.isListTooOld,
    'requests are sent to a backend that left longer ago than the drain bound, though all readers know',
  );
});
