import { VirtualClock } from '@canvasridge/clock';
import { Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import { PauseDetector, PeerVisibility, PoolLeadership, type PoolClaim } from '../src/index.js';

test('a node that sees less than half of the members it saw recently has no majority', async (t) => {
  const clock = new VirtualClock();
  const visibility = new PeerVisibility(clock, 'a', 12_000);
  visibility.update(['b', 'c', 'd', 'e'], []);
  t.true(visibility.seesMost());
  visibility.update(['b'], []);
  t.false(visibility.seesMost());
  visibility.update(['b', 'c'], []);
  t.true(visibility.seesMost());
  await clock.runUntil(9000);
  visibility.update(['b'], []);
  t.true(visibility.seesMost(), 'members that have been gone for long no longer count');
});

test('a node that lost and then forgot a majority may be cut off until a member has been back for a while', async (t) => {
  const clock = new VirtualClock();
  const visibility = new PeerVisibility(clock, 'a', 12_000);
  visibility.update(['b', 'c', 'd', 'e'], []);
  visibility.update(['b'], []);
  t.false(visibility.mayBeCutOff);
  await clock.runUntil(9000);
  visibility.update(['b'], []);
  t.true(visibility.seesMost());
  t.true(visibility.mayBeCutOff);
  t.is(visibility.isolatedMs, undefined);
  visibility.update([], []);
  await clock.runUntil(18_000);
  visibility.update([], []);
  t.is(visibility.isolatedMs, 9000);
  visibility.update(['c'], []);
  t.true(visibility.mayBeCutOff, 'it may not have learnt of their leader yet');
  await clock.runUntil(21_000);
  t.false(visibility.mayBeCutOff);
});

test('a node that forgets a minority of members is not considered cut off', async (t) => {
  const clock = new VirtualClock();
  const visibility = new PeerVisibility(clock, 'a', 12_000);
  visibility.update(['b', 'c', 'd', 'e'], []);
  visibility.update(['b', 'c', 'd'], []);
  await clock.runUntil(9000);
  visibility.update(['b', 'c', 'd'], []);
  t.false(visibility.mayBeCutOff);
});

test('of two equal halves, the one with the smallest id counts as the majority', (t) => {
  const clock = new VirtualClock();
  const left = new PeerVisibility(clock, 'a', 12_000);
  left.update(['b', 'c', 'd'], []);
  left.update(['b'], []);
  const right = new PeerVisibility(clock, 'c', 12_000);
  right.update(['a', 'b', 'd'], []);
  right.update(['d'], []);
  t.true(left.seesMost());
  t.false(right.seesMost());
});

test('members that announced their departure do not count', (t) => {
  const visibility = new PeerVisibility(new VirtualClock(), 'd', 12_000);
  visibility.update(['a', 'b', 'c'], []);
  visibility.update(['c'], ['a', 'b']);
  t.true(visibility.seesMost());
});

test('a node that has never seen another member acts alone only after a while', async (t) => {
  const clock = new VirtualClock();
  const visibility = new PeerVisibility(clock, 'a', 12_000);
  t.false(visibility.seesMost());
  await clock.runUntil(12_000);
  t.true(visibility.seesMost());
});

/** Creates one leadership per node. A step lets time pass and updates the nodes that are alive. */
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
      askForMissedRecords: () => undefined,
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

test('when the leader is gone another node takes over, and the former leader does not take the pool back', async (t) => {
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

test('a leader that resigns follows the next leader', async (t) => {
  const { alive, leaderships, step } = election(['a', 'b']);
  for (let index = 0; index < 6; index += 1) await step();
  leaderships.get('a')?.resign();
  alive.delete('a');
  for (let index = 0; index < 6; index += 1) await step();
  leaderships.get('a')?.update();
  t.is(leaderships.get('a')?.leader, 'b');
});

test('a check right before an action detects a pause even if no timer has run since', async (t) => {
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
        askForMissedRecords: () => undefined,
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

// Guards against replacing a leader, and losing a lease of loads, because one node missed its claim.
test('a node that missed the claim of the leader asks for it in time and does not claim', async (t) => {
  for (const rank of [1, 2, 20]) {
    const clock = new VirtualClock();
    const claims: PoolClaim[] = [];
    const published: unknown[] = [];
    const peers = {
      selfId: 'z',
      candidates: () => [...Array.from({ length: rank }, (_, index) => `a${index}`), 'z'],
      claims: () => claims,
      publishClaim: (_pool: string, epoch: number | undefined) => published.push(epoch),
      askForMissedRecords: () => {
        if (claims.length === 0) claims.push({ memberId: 'a0', epoch: 1 });
      },
      seesMost: () => true,
    };
    const telemetry = new Telemetry({ processName: 'z', clock });
    const leadership = new PoolLeadership('llm', peers, clock, telemetry);
    for (let atMs = 0; atMs <= 3000; atMs += 100) {
      await clock.runUntil(atMs);
      leadership.update();
    }
    t.is(leadership.leader, 'a0', `rank ${rank}`);
    t.deepEqual(published, [], `rank ${rank}`);
  }
});
