/** Which nodes the directory lists for callers. */
import { VirtualClock } from '@canvasridge/clock';
import type { Member } from '@canvasridge/membership';
import test from 'ava';
import { Directory } from '../src/cluster/directory.js';
import { FleetShare } from '../src/cluster/fleet-share.js';
import { LoopLag } from '../src/cluster/loop-lag.js';
import { addressOf, idAt } from './peer-addresses.js';

function member(id: string, capacity: number, zone = 'a'): Member {
  const address = addressOf(id);
  const addresses = { gossip: address, peerUrl: address, callerUrl: address };
  return { id, zone, region: 'r', ...addresses, processToken: id, capacity, incarnation: 1, state: 'alive' };
}

const STRONG = ['s1', 's2', 's3', 's4'].map((id) => member(id, 1.35));
const WEAK = ['w1', 'w2', 'w3', 'w4', 'w5'].map((id) => member(id, 0.324));

function listed(
  members: readonly Member[],
  leaders: readonly string[] = [],
  busy: readonly string[] = [],
): string[] {
  const cluster = { serving: () => members, busy: () => new Set(busy) };
  const directory = new Directory(cluster, () => new Set(leaders));
  return directory.addresses('a', 'r', 64).map(idAt);
}

test('callers are sent to the nodes with the highest capacity', (t) => {
  t.deepEqual(listed([...WEAK, ...STRONG]), ['s1', 's2', 's3', 's4']);
});

test('a node that leads a pool is left out if enough others serve', (t) => {
  t.deepEqual(listed([...WEAK, ...STRONG], ['s2']), ['s1', 's3', 's4']);
  const few = STRONG.slice(0, 3);
  t.deepEqual(listed(few, ['s2']), ['s1', 's2', 's3'], 'but not if few do');
});

test('at least three nodes are listed if that many serve', (t) => {
  t.deepEqual(listed([...WEAK, ...STRONG.slice(0, 1)]), ['s1', 'w1', 'w2']);
});

test('nodes of equal capacity are all listed', (t) => {
  t.is(listed(WEAK).length, WEAK.length);
});

test('if one of the strongest nodes is busy, callers are spread over all nodes', (t) => {
  t.is(listed([...WEAK, ...STRONG], [], ['s3']).length, WEAK.length + STRONG.length);
  t.deepEqual(
    listed([...WEAK, ...STRONG], [], ['w3']),
    ['s1', 's2', 's3', 's4'],
    'a busy weaker node changes nothing',
  );
});

// Guards against clients that are sent to an address that no connection can be opened to.
test('a member that announces no valid address is not listed, and takes no place of another', (t) => {
  const spoiled = ['127.0.0.1:70000', '300.0.0.1:80', 'w9:1', ''].map((callerUrl, index) => ({
    ...member(`x${index}`, 4),
    callerUrl,
  }));
  t.deepEqual(listed([...spoiled, ...STRONG]), ['s1', 's2', 's3', 's4']);
  const directory = new Directory(
    { serving: () => [...spoiled, ...WEAK], busy: () => new Set() },
    () => new Set(),
  );
  t.is(directory.addresses('a', 'r', 3).length, 3);
});

test("the caller's own zone comes first", (t) => {
  const far = ['f1', 'f2', 'f3', 'f4'].map((id) => member(id, 4, 'b'));
  t.deepEqual(listed([...far, ...WEAK]).sort(), ['w1', 'w2', 'w3', 'w4', 'w5']);
});

// Callers went on to be sent to nodes that could reach no backend.
test('nodes that miss a service which others reach are left out, unless that leaves none', (t) => {
  const far = ['f1', 'f2'].map((id) => member(id, 1, 'b'));
  const cluster = { serving: () => [...WEAK, ...far], busy: () => new Set<string>() };
  const listedWithout = (impaired: readonly string[]): string[] =>
    new Directory(cluster, () => new Set(), { isImpaired: (id) => impaired.includes(id) })
      .addresses('a', 'r', 64)
      .map(idAt);
  t.deepEqual(listedWithout(['w1', 'w2']).sort(), ['w3', 'w4', 'w5']);
  t.deepEqual(listedWithout(['w1', 'w2', 'w3', 'w4', 'w5']).sort(), ['f1', 'f2'], 'other zones come next');
  t.is(listedWithout([...WEAK, ...far].map(({ id }) => id)).length, WEAK.length);
});

test('fleet-wide limits are divided so that the nodes listed for callers get most of them', (t) => {
  const members = [...STRONG, ...WEAK, member('f1', 1.35, 'b')];
  const cluster = { serving: () => members, busy: () => new Set<string>() };
  const directory = new Directory(cluster, () => new Set());
  t.true(Math.abs(directory.shareOf('s1') - 0.75 / 5) < 1e-9);
  t.true(Math.abs(directory.shareOf('w1') - 0.25 / 5) < 1e-9);
  const sum = members.reduce((total, { id }) => total + directory.shareOf(id), 0);
  t.true(Math.abs(sum - 1) < 1e-9);
  const alike = new Directory({ ...cluster, serving: () => WEAK }, () => new Set());
  t.is(alike.shareOf('w1'), 1 / WEAK.length);
  const oneLeads = new Directory({ ...cluster, serving: () => WEAK }, () => new Set(['w2']));
  t.is(
    oneLeads.shareOf('w1'),
    1 / WEAK.length,
    'a single node that is not listed gets no more than any other',
  );
  t.is(oneLeads.shareOf('w2'), 1 / WEAK.length);
});

test('a node that is cut off does not take over the shares of the others', async (t) => {
  const clock = new VirtualClock();
  let members = WEAK;
  const cluster = { serving: () => members, busy: () => new Set<string>() };
  const share = new FleetShare(clock, new Directory(cluster, () => new Set()), 'w1');
  t.is(share.value, 1 / 5);
  members = WEAK.slice(0, 1);
  await clock.runUntil(10_000);
  t.is(share.value, 1 / 5);
  await clock.runUntil(45_000);
  t.is(share.value, 1, 'but after a while the others count as gone');
});

test('a process whose timers run late for a while is busy, and stays so for a while', async (t) => {
  const clock = new VirtualClock();
  const changes: boolean[] = [];
  const lag = new LoopLag(clock, (busy) => changes.push(busy));
  for (let sample = 0; sample < 50; sample += 1) lag.observe(5);
  lag.observe(100_000);
  t.deepEqual(changes, [], 'one long pause does not count as load');
  for (let sample = 0; sample < 20; sample += 1) lag.observe(60);
  t.deepEqual(changes, [true]);
  lag.start();
  await clock.runUntil(10_000);
  t.true(lag.busy);
  await clock.runUntil(20_000);
  t.deepEqual(changes, [true, false]);
  lag.stop();
});
