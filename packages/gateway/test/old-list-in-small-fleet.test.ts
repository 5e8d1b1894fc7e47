/**
 * Guards against requests that a node of a small fleet sends with a list older than the drain bound. Every node
 * reads the store itself there, and pauses after changes: news that came in a pause is not even asked for when a
 * node that got no CPU time for seconds continues with the requests in its sockets. Nodes of large fleets ask
 * others when their list is old; here the other nodes know of the leaving as well, and nobody asks them.
 */
import { VirtualClock } from '@canvasridge/clock';
import { FleetState } from '@canvasridge/serving';
import test from 'ava';
import { StateFollower } from '../src/index.js';
import { DRAIN_MS, backend } from './followed-fleet.js';
import { BARE_CONFIGURATION, NOTHING_WAITS, followerOptions } from './follower-options.js';

/** Time since the node last heard from the store. */
const HELD_UP_MS = 1.1 * DRAIN_MS;

for (const nodes of [9, 40]) {
  test(`a node that was held up for longer than the drain bound learns of a leaving before it sends, among ${nodes} nodes`, async (t) => {
    const clock = new VirtualClock();
    const ids = Array.from({ length: nodes }, (_, index) => `node-${index}`);
    const other = new FleetState();
    const own = new FleetState();
    for (const fleet of [other, own]) {
      fleet.applyConfiguration(BARE_CONFIGURATION);
      fleet.applyBackend(1, backend('x'));
    }
    const shared = { clock, ids, drainMs: DRAIN_MS };
    const reader = new StateFollower(
      followerOptions({ ...shared, fleet: other, selfId: 'node-0', answer: () => undefined }),
    );
    const heldUp = new StateFollower(
      followerOptions({
        ...shared,
        fleet: own,
        selfId: ids.at(-1) ?? '',
        answer: (_address, known) => reader.answer(known, NOTHING_WAITS),
      }),
    );
    heldUp.onStoreAnswered(clock.now());
    other.applyBackend(2, backend('x', 'draining'));
    await clock.runUntil(HELD_UP_MS);
    reader.onStoreAnswered(clock.now());

    t.is(heldUp.listAgeMs, HELD_UP_MS);
    t.true(heldUp.isListTooOld, 'requests are sent to a backend that left longer ago than the drain bound');
    const refreshed = heldUp.refreshIfOld();
    await clock.runUntil(clock.now() + DRAIN_MS);
    await refreshed;
    t.true(own.isLeaving('x'));
  });
}
