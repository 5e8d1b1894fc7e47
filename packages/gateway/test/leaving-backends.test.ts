/**
 * Departures of backends as seen by follower nodes of a large fleet, which get the backend list from reader
 * nodes. Guards against requests that a follower sends to a backend after the drain bound because the
 * departure reached it late or was undone: readers that lost the store apply a removal late, after newer
 * changes, withhold it while the entry may merely have expired, or have not noticed the loss at all.
 */
import test from 'ava';
import { Harness } from './harness.js';
import { success } from './raw-backend.js';
import {
  DRAIN_MS,
  FollowedFleet,
  HEARTBEAT_MS,
  READ_PERIOD_MS,
  RETURN_MS,
  backend,
} from './followed-fleet.js';

test('a follower learns of a removal that its readers applied late, after newer changes', async (t) => {
  const fleet = new FollowedFleet();
  fleet.publish(1, 'x', backend('x'));
  fleet.publish(2, 'y', backend('y'));
  await fleet.settle();
  for (const reader of fleet.readers) reader.connected = false;
  fleet.publish(20, 'x', undefined);
  const returnMs = fleet.clock.now() + 2 * HEARTBEAT_MS + READ_PERIOD_MS;
  await fleet.clock.runUntil(returnMs);
  for (const reader of fleet.readers) reader.connected = true;
  await fleet.clock.runUntil(returnMs + READ_PERIOD_MS);
  fleet.publish(25, 'y', backend('y', 'draining'));
  await fleet.clock.runUntil(returnMs + RETURN_MS - 100);
  t.is(fleet.own.backend('y')?.state, 'draining');
  t.is(fleet.own.backend('x')?.state, 'ready', 'the entry may merely have expired');
  await fleet.clock.runUntil(returnMs + READ_PERIOD_MS + RETURN_MS + 0.5 * DRAIN_MS);
  t.true(fleet.readers.every(({ state }) => state.isLeaving('x')));
  t.true(fleet.own.isLeaving('x'));
});

test('a backend known to be removed is not restored from a reader that still withholds its removal', async (t) => {
  const fleet = new FollowedFleet();
  fleet.publish(1, 'x', backend('x'));
  await fleet.settle();
  const [lateReader] = fleet.readers;
  if (lateReader === undefined) throw new Error('no reader');
  lateReader.connected = false;
  fleet.publish(20, 'x', undefined);
  await fleet.clock.runUntil(5000);
  t.true(fleet.own.isLeaving('x'));
  lateReader.connected = true;
  lateReader.read(
    [
      { revision: 20, id: 'x', value: undefined },
      { revision: 30, id: 'z', value: backend('z') },
    ],
    fleet.clock.now(),
  );
  t.false(lateReader.state.isLeaving('x'));
  fleet.publish(30, 'z', backend('z'));
  fleet.own.applyListing(lateReader.state.listing());
  t.true(fleet.own.isLeaving('x'));
  t.is(fleet.own.backend('x'), undefined);
  t.is(fleet.own.backend('z')?.state, 'ready');
});

test('a departure is known in time although half of the readers have silently lost their connection to the store', async (t) => {
  const delaysMs: number[] = [];
  // Sweeps the time of the disconnect within the followers' polling period, and which readers are
  // disconnected.
  for (let offsetMs = 0; offsetMs < 600; offsetMs += 50) {
    for (const cut of [
      [0, 1, 2],
      [1, 2, 3],
      [0, 2, 4],
      [3, 4, 5],
    ]) {
      const fleet = new FollowedFleet();
      fleet.publish(1, 'x', backend('x'));
      await fleet.settle();
      await fleet.clock.runUntil(3000 + offsetMs);
      for (const index of cut) {
        const reader = fleet.readers[index];
        if (reader !== undefined) reader.connected = false;
      }
      const publishedMs = fleet.clock.now();
      fleet.publish(20, 'x', backend('x', 'draining'));
      while (!fleet.own.isLeaving('x')) await fleet.clock.runUntil(fleet.clock.now() + 10);
      delaysMs.push(fleet.clock.now() - publishedMs);
    }
  }
  // The rest of the time limit is needed for sending: to ask for a slot, to connect, and for data that a
  // link still holds.
  t.true(Math.max(...delaysMs) <= 0.6 * DRAIN_MS, `known after ${Math.max(...delaysMs)} ms`);
});

const departureTimes: readonly (readonly [name: string, schedule: (leave: () => void) => void])[] = [
  ['between its selection and the send', (leave) => leave()],
  // Runs before any event of a socket that is still connecting.
  ['while its connection is being set up', (leave) => setImmediate(leave)],
];

for (const [name, schedule] of departureTimes) {
  test(`a backend found to be leaving ${name} gets no request, and the client is told that nothing ran`, async (t) => {
    const harness = await Harness.start({}, [(socket, id) => socket.write(success(id, 'answer'))]);
    t.teardown(() => harness.stop());
    const listed = harness.fleet.backend('i1');
    if (listed === undefined) throw new Error('the backend is not listed');
    harness.beforeSend = () => {
      schedule(() => harness.fleet.applyBackend(9, { ...listed, state: 'draining' }));
      return Promise.resolve();
    };
    const seen = await harness.call('a1');
    t.is(seen.status, 503);
    t.is(harness.sends, 0);
  });
}
