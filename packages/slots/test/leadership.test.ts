import { VirtualClock } from '@canvasridge/clock';
import { Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import { PauseDetector, PeerSight, PoolLeadership, type PoolClaim } from '../src/index.js';

test('a node that sees less than half of those it saw of late does not lead', async (t) => {
  const clock = new VirtualClock();
  const sight = new PeerSight(clock, 'a', 12_000);
  sight.update(['b', 'c', 'd', 'e'], []);
  t.true(sight.seesMost());
  sight.update(['b'], []);
  t.false(sight.seesMost());
  sight.update(['b', 'c'], []);
  t.true(sight.seesMost());
  await clock.runUntil(9000);
  sight.update(['b'], []);
  t.true(sight.seesMost(), 'members that are gone for long no longer count');
});

test('a node that saw few and forgot the others may be cut off until they are back for a while', async (t) => {
  const clock = new VirtualClock();
  const sight = new PeerSight(clock, 'a', 12_000);
  sight.update(['b', 'c', 'd', 'e'], []);
  sight.update(['b'], []);
  t.false(sight.isRemainder);
  await clock.runUntil(9000);
  sight.update(['b'], []);
  t.true(sight.seesMost());
  t.true(sight.isRemainder);
  t.is(sight.aloneMs, undefined);
  sight.update([], []);
  await clock.runUntil(18_000);
  sight.update([], []);
  t.is(sight.aloneMs, 9000);
  sight.update(['c'], []);
  t.true(sight.isRemainder, 'it may not have heard of their leader yet');
  await clock.runUntil(21_000);
  t.false(sight.isRemainder);
});

test('a node that forgets a few of many is no remainder', async (t) => {
  const clock = new VirtualClock();
  const sight = new PeerSight(clock, 'a', 12_000);
  sight.update(['b', 'c', 'd', 'e'], []);
  sight.update(['b', 'c', 'd'], []);
  await clock.runUntil(9000);
  sight.update(['b', 'c', 'd'], []);
  t.false(sight.isRemainder);
});

test('of two halves the one with the smallest name leads', (t) => {
  const clock = new VirtualClock();
  const left = new PeerSight(clock, 'a', 12_000);
  left.update(['b', 'c', 'd'], []);
  left.update(['b'], []);
  const right = new PeerSight(clock, 'c', 12_000);
  right.update(['a', 'b', 'd'], []);
  right.update(['d'], []);
  t.true(left.seesMost());
  t.false(right.seesMost());
});

test('members that said they leave do not count', (t) => {
  const sight = new PeerSight(new VirtualClock(), 'd', 12_000);
  sight.update(['a', 'b', 'c'], []);
  sight.update(['c'], ['a', 'b']);
  t.true(sight.seesMost());
});

test('a node that never met another acts alone only after a while', async (t) => {
  const clock = new VirtualClock();
  const sight = new PeerSight(clock, 'a', 12_000);
  t.false(sight.seesMost());
  await clock.runUntil(12_000);
  t.true(sight.seesMost());
});

function election(ids: readonly string[]): {
  clock: VirtualClock;
  alive: Set<string>;
  leaderships: Map<string, PoolLeadership>;
  step: () => Promise<void>;
} {
  const clock = new VirtualClock();
  const alive = new Set(ids);
  const claims = new Map<string, PoolClaim>();
  const telemetry = new Telemetry({ processName: 'test', clock });
  const leaderships = new Map<string, PoolLeadership>();
  for (const selfId of ids) {
    const peers = {
      selfId,
      candidates: () => [...alive].sort(),
      claims: () => [...claims.values()].filter((claim) => alive.has(claim.memberId)),
      publishClaim: (_pool: string, epoch: number | undefined) => {
        if (epoch === undefined) claims.delete(selfId);
        else claims.set(selfId, { memberId: selfId, epoch });
      },
      seesMost: () => true,
    };
    leaderships.set(selfId, new PoolLeadership('llm', peers, clock, telemetry));
  }
  const step = async (): Promise<void> => {
    await clock.runUntil(clock.now() + 200);
    for (const id of alive) leaderships.get(id)?.update();
  };
  return { clock, alive, leaderships, step };
}

test('one node leads; when it is gone another follows, and it does not take the pool back', async (t) => {
  const { alive, leaderships, step } = election(['a', 'b', 'c']);
  for (let index = 0; index < 6; index += 1) await step();
  t.is(leaderships.get('c')?.leader, 'a');
  alive.delete('a');
  for (let index = 0; index < 6; index += 1) await step();
  t.is(leaderships.get('c')?.leader, 'b');
  alive.add('a');
  for (let index = 0; index < 6; index += 1) await step();
  t.is(leaderships.get('a')?.leader, 'b');
  t.is(leaderships.get('c')?.leader, 'b');
});

test('a leader that resigns goes on to follow the next one', async (t) => {
  const { alive, leaderships, step } = election(['a', 'b']);
  for (let index = 0; index < 6; index += 1) await step();
  leaderships.get('a')?.resign();
  alive.delete('a');
  for (let index = 0; index < 6; index += 1) await step();
  leaderships.get('a')?.update();
  t.is(leaderships.get('a')?.leader, 'b');
});

test('a pause is seen right before an action, also when no timer ran since', async (t) => {
  const clock = new VirtualClock();
  const detector = new PauseDetector(clock, 1000);
  const seen: number[] = [];
  detector.onPause((pausedMs) => seen.push(pausedMs));
  t.false(detector.check());
  await clock.runUntil(4000);
  t.true(detector.check());
  t.deepEqual(seen, [4000]);
  t.false(detector.check());
});

test('nodes that rank candidates differently still get a leader', async (t) => {
  const clock = new VirtualClock();
  const claims = new Map<string, PoolClaim>();
  const telemetry = new Telemetry({ processName: 'test', clock });
  const leaderships = ['a', 'b', 'c'].map((selfId, index, ids) => {
    const others = [...ids.slice(index + 1), ...ids.slice(0, index)];
    return new PoolLeadership(
      'llm',
      {
        selfId,
        candidates: () => [...others, selfId],
        claims: () => [...claims.values()],
        publishClaim: (_pool, epoch) => {
          if (epoch === undefined) claims.delete(selfId);
          else claims.set(selfId, { memberId: selfId, epoch });
        },
        seesMost: () => true,
      },
      clock,
      telemetry,
    );
  });
  for (let atMs = 0; atMs <= 3000; atMs += 100) {
    await clock.runUntil(atMs);
    for (const leadership of leaderships) leadership.update();
  }
  t.deepEqual(new Set(leaderships.map(({ leader }) => leader)).size, 1);
  t.not(leaderships[0]?.leader, undefined);
});
