/**
 * Guards against a failure seen in production: after all processes were lost, a new holder sent an order with a lower fence
 * than its predecessor.
 *
 * Leadership terms used to be counted up from the terms a node had seen, so they restarted at 1 when all nodes restarted.
 * For two successive holders whose orders had changed nothing, the machine number then decided which fence was higher. In
 * addition, all terms above 1,023 counted as the same. The tests use two holders that know nothing of each other.
 */
import { VirtualClock } from '@canvasridge/clock';
import { Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import { PoolLeadership } from '../src/index.js';
import { OrderFence } from '../src/order-fence.js';

/** Returns the leadership of a node that knows no other node and therefore becomes leader. */
async function leaderOf(clock: VirtualClock, selfId: string): Promise<PoolLeadership> {
  const peers = {
    selfId,
    candidates: () => [selfId],
    claims: () => [],
    publishClaim: () => undefined,
    askForMissedRecords: () => undefined,
    seesMost: () => true,
  };
  const telemetry = new Telemetry({ processName: selfId, clock });
  const leadership = new PoolLeadership('llm', peers, clock, telemetry);
  for (let step = 0; step < 3; step += 1) {
    leadership.update();
    await clock.runUntil(clock.now() + 200);
  }
  return leadership;
}

test('a leader elected after a restart of all nodes has a higher fence, even with a lower holder number', async (t) => {
  const clock = new VirtualClock();
  const before = await leaderOf(clock, 'b');
  const earlier = new OrderFence(9, () => before.term);
  earlier.startAt(7);
  await clock.runUntil(4000);
  const after = await leaderOf(clock, 'a');
  t.true(after.isLeader);
  const later = new OrderFence(1, () => after.term);
  later.startAt(7);
  t.true(later.raiseTo(7) > earlier.raiseTo(7));
});

test('fences rise with the term over a wide range of terms', (t) => {
  let last = 0;
  for (const term of [1, 2, 1023, 1024, 1025, 100_000, 262_142]) {
    const fence = new OrderFence(9, () => term);
    fence.startAt(0);
    const now = fence.raiseTo(0);
    t.true(now > last, `term ${term}`);
    last = now;
  }
});

test('the fences of one holder never fall, even when terms wrap around', (t) => {
  let term = 2 ** 18 - 1;
  const fence = new OrderFence(9, () => term);
  fence.startAt(3);
  const before = fence.raiseTo(3);
  term += 1;
  t.true(fence.raiseTo(3) >= before);
  t.true(fence.raiseTo(5) > before);
});

test('fences stay exact integers up to two million orders', (t) => {
  const fence = new OrderFence(2 ** 14 - 1, () => 2 ** 18 - 1);
  t.true(Number.isSafeInteger(fence.raiseTo(2 ** 21 - 1)));
});
