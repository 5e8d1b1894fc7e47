/** Which nodes callers are sent to. */
import { VirtualClock } from '@canvasridge/clock';
import type { Member } from '@canvasridge/membership';
import test from 'ava';
import { Directory } from '../src/cluster/directory.js';
import { FleetShare } from '../src/cluster/fleet-share.js';
import { LoopLag } from '../src/cluster/loop-lag.js';

function member(id: string, capacity: number, zone = 'a'): Member {
  const address = `${id}:1`;
  const addresses = { gossip: address, peerUrl: address, callerUrl: address };
  return { id, zone, region: 'r', ...addresses, processToken: id, capacity, incarnation: 1, state: 'alive' };
}

const STRONG = ['s1', 's2', 's3', 's4'].map((id) => member(id, 1.35));
const WEAK = ['w1', 'w2', 'w3', 'w4', 'w5'].map((id) => member(id, 0.324));

function named(
  members: readonly Member[],
  leaders: readonly string[] = [],
  busy: readonly string[] = [],
): string[] {
  const sight = { serving: () => members, busy: () => new Set(busy) };
  const directory = new Directory(sight, () => new Set(leaders));
  return directory.addresses('a', 'r', 64).map((address) => address.replace(':1', ''));
}

test('callers are sent to the nodes that can carry most', (t) => {
  t.deepEqual(named([...WEAK, ...STRONG]), ['s1', 's2', 's3', 's4']);
});

test('a node that hands out slots is left out where enough others serve', (t) => {
  t.deepEqual(named([...WEAK, ...STRONG], ['s2']), ['s1', 's3', 's4']);
  const few = STRONG.slice(0, 3);
  t.deepEqual(named(few, ['s2']), ['s1', 's2', 's3'], 'but not where few do');
});

test('at least three nodes are named if so many serve', (t) => {
  t.deepEqual(named([...WEAK, ...STRONG.slice(0, 1)]), ['s1', 'w1', 'w2']);
});

test('nodes that are all alike are all named', (t) => {
  t.is(named(WEAK).length, WEAK.length);
});

test('when one of the strongest is busy, callers are spread over all', (t) => {
  t.is(named([...WEAK, ...STRONG], [], ['s3']).length, WEAK.length + STRONG.length);
  t.deepEqual(
    named([...WEAK, ...STRONG], [], ['w3']),
    ['s1', 's2', 's3', 's4'],
    'a busy weaker one changes nothing',
  );
});

test('a zone of its own comes first', (t) => {
  const far = ['f1', 'f2', 'f3', 'f4'].map((id) => member(id, 4, 'b'));
  t.deepEqual(named([...far, ...WEAK]).sort(), ['w1', 'w2', 'w3', 'w4', 'w5']);
});

test('bounds on the fleet are divided so that the nodes named to callers have most of them', (t) => {
  const members = [...STRONG, ...WEAK, member('f1', 1.35, 'b')];
  const sight = { serving: () => members, busy: () => new Set<string>() };
  const directory = new Directory(sight, () => new Set());
  t.true(Math.abs(directory.shareOf('s1') - 0.75 / 5) < 1e-9);
  t.true(Math.abs(directory.shareOf('w1') - 0.25 / 5) < 1e-9);
  const sum = members.reduce((total, { id }) => total + directory.shareOf(id), 0);
  t.true(Math.abs(sum - 1) < 1e-9);
  const alike = new Directory({ ...sight, serving: () => WEAK }, () => new Set());
  t.is(alike.shareOf('w1'), 1 / WEAK.length);
  const oneLeads = new Directory({ ...sight, serving: () => WEAK }, () => new Set(['w2']));
  t.is(oneLeads.shareOf('w1'), 1 / WEAK.length, 'a single node that is not named has no more than any');
  t.is(oneLeads.shareOf('w2'), 1 / WEAK.length);
});

test('a node that is cut off does not take over the shares of the others', async (t) => {
  const clock = new VirtualClock();
  let members = WEAK;
  const sight = { serving: () => members, busy: () => new Set<string>() };
  const share = new FleetShare(clock, new Directory(sight, () => new Set()), 'w1');
  t.is(share.value, 1 / 5);
  members = WEAK.slice(0, 1);
  await clock.runUntil(10_000);
  t.is(share.value, 1 / 5);
  await clock.runUntil(45_000);
  t.is(share.value, 1, 'but after a while they are taken to be gone');
});

test('a process whose timers run late for a while is busy, and stays so for a while', async (t) => {
  const clock = new VirtualClock();
  const changes: boolean[] = [];
  const lag = new LoopLag(clock, (busy) => changes.push(busy));
  for (let sample = 0; sample < 50; sample += 1) lag.observe(5);
  lag.observe(100_000);
  t.deepEqual(changes, [], 'one long pause is no load');
  for (let sample = 0; sample < 20; sample += 1) lag.observe(60);
  t.deepEqual(changes, [true]);
  lag.start();
  await clock.runUntil(10_000);
  t.true(lag.busy);
  await clock.runUntil(20_000);
  t.deepEqual(changes, [true, false]);
  lag.stop();
});
