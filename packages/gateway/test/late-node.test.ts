/**
 * Seen in production: right after a configuration with 2,000 more routes, a request reached a backend
 * 4,068 ms after it had announced that it leaves, where 4,000 ms are allowed, and 79 ms after its client had
 * given up.
 * Strong nodes, which read the store for the others, did not answer their readiness checks for two seconds at
 * that time.
 *
 * A process that gets no CPU time finds its timers due and its sockets full when it continues. It then
 * dated the store's answer by the time at which it processed it, and sent a request whose deadline had
 * passed, because the timer that ends the request had not run yet. The tests reproduce this with readers that
 * process answers late, and with an event loop that is blocked between two steps of one request.
 */
import test from 'ava';
import { DRAIN_MS, FollowedFleet, READ_PERIOD_MS, backend } from './followed-fleet.js';
import { Harness } from './harness.js';
import { success } from './raw-backend.js';

/** As long as the readiness checks failed in production. */
const LATE_MS = 2000;

/** Blocks the event loop. */
function blockEventLoop(durationMs: number): void {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
}

test('a list never counts as newer than the answers of the store from which it was built', async (t) => {
  const tooNew: string[] = [];
  // Varies the time of the departure over a whole round of late reads.
  for (let offsetMs = 0; offsetMs < LATE_MS + READ_PERIOD_MS; offsetMs += 100) {
    const fleet = new FollowedFleet();
    fleet.publish(1, 'x', backend('x'));
    await fleet.settle();
    for (const reader of fleet.readers) reader.processingDelayMs = LATE_MS;
    await fleet.clock.runUntil(6000 + offsetMs);
    const publishedMs = fleet.clock.now();
    fleet.publish(20, 'x', backend('x', 'draining'));
    while (!fleet.own.isLeaving('x') && fleet.clock.now() < publishedMs + 2 * DRAIN_MS) {
      await fleet.clock.runUntil(fleet.clock.now() + 10);
      const trueAgeMs = fleet.clock.now() - publishedMs;
      const { listAgeMs } = fleet.follower;
      if (fleet.own.isLeaving('x') || listAgeMs >= trueAgeMs) continue;
      tooNew.push(`at ${offsetMs} ms: age ${listAgeMs}, lacks what was published ${trueAgeMs} ms ago`);
      break;
    }
  }
  t.deepEqual(tooNew, []);
});

test('a request whose deadline passed while the event loop was blocked is not sent', async (t) => {
  const harness = await Harness.start({ attempts: 1 }, [(socket, id) => socket.write(success(id, 'answer'))]);
  t.teardown(() => harness.stop());
  t.is((await harness.call('first')).status, 200, 'a connection is open, so that none has to be established');
  harness.beforeSend = () => {
    blockEventLoop(150);
    return Promise.resolve();
  };
  const seen = await harness.call('second', '/x/', 'question', { deadline: '100' });
  t.is(harness.sends, 1);
  t.is(seen.status, 503, 'it was not executed and never will be');
});

test('a list that grew too old while a request waited is checked again before the request is written', async (t) => {
  const harness = await Harness.start({ attempts: 1 }, [(socket, id) => socket.write(success(id, 'answer'))]);
  t.teardown(() => harness.stop());
  let checks = 0;
  let isOld = true;
  harness.beforeSend = () => {
    checks += 1;
    // The first check finds the list recent, the second one refreshes it.
    if (checks === 2) isOld = false;
    return Promise.resolve();
  };
  harness.isListTooOld = () => isOld;
  t.is((await harness.call('a1')).status, 200);
  t.is(checks, 2);
  t.is(harness.sends, 1);
});
