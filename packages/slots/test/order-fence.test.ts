/**
 * Seen in operation: an order with a lower fence after one with a higher fence, from a node that followed another one after a
 * loss of all processes.
 *
 * Terms of leaders were counted from those that a node had seen, so after a restart of all they began at 1 again, and of two
 * holders in succession whose orders had changed nothing the number of the machine decided. Terms beyond 1,023 all counted as one.
 * Shown by two holders that know nothing of one another.
 */
import { VirtualClock } from '@canvasridge/clock';
import { Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import { PoolLeadership } from '../src/index.js';
import { OrderFence } from '../src/order-fence.js';

/** A node that knows no other leads at once. */
async function leaderOf(clock: VirtualClock, selfId: string): Promise<PoolLeadership> {
  const peers = {
    selfId,
    candidates: () => [selfId],
    claims: () => [],
    publishClaim: () => undefined,
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

test('a leader after a restart of all has a higher fence, also if its number is lower', async (t) => {
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

test('fences rise from each of many terms to the next', (t) => {
  let last = 0;
  for (const term of [1, 2, 1023, 1024, 1025, 100_000, 262_142]) {
    const fence = new OrderFence(9, () => term);
    fence.startAt(0);
    const now = fence.raiseTo(0);
    t.true(now > last, `term ${term}`);
    last = now;
  }
});

test('a fence never falls within one holder, also when terms begin anew', (t) => {
  let term = 2 ** 18 - 1;
  const fence = new OrderFence(9, () => term);
  fence.startAt(3);
  const before = fence.raiseTo(3);
  term += 1;
  t.true(fence.raiseTo(3) >= before);
  t.true(fence.raiseTo(5) > before);
});

test('counts and fences stay exact up to two million orders', (t) => {
  const fence = new OrderFence(2 ** 14 - 1, () => 2 ** 18 - 1);
  t.true(Number.isSafeInteger(fence.raiseTo(2 ** 21 - 1)));
});
