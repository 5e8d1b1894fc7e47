/**
 * The rate limit that a backend announces, lent out by one node to all that have received it, in virtual
 * time.
 */
import { VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import { BackendRateLimits } from '../src/backends/backend-rate-limits.js';
import { rateBorrowParams } from '../src/index.js';
import { BACKEND, LimitedFleet, allowed } from './limited-fleet.js';

const SEEDS = [1, 2, 3, 4, 5];

for (const [count, perSecond] of [
  [9, 0.4],
  [9, 1.4],
  [83, 1.4],
  [83, 16],
] as const) {
  test(`${count} nodes together stay within a limit of ${perSecond} a second, and use it`, async (t) => {
    for (const seed of SEEDS) {
      const fleet = new LimitedFleet(count, seed);
      fleet.announceLimit(perSecond);
      const seconds = 50;
      await fleet.send(perSecond * 4, seconds);
      t.true(fleet.fullestWindow <= allowed(perSecond), `seed ${seed}: ${fleet.fullestWindow} in 4 s`);
      const used = fleet.sentMs.length / (perSecond * seconds);
      t.log(`seed ${seed}: fullest ${fleet.fullestWindow} of ${allowed(perSecond)}, used ${used.toFixed(2)}`);
      t.true(used >= 0.9, `seed ${seed}: ${used} of the limit used`);
    }
  });
}

test('nodes stay within the limit when their home changes or is lost', async (t) => {
  for (const seed of SEEDS) {
    const fleet = new LimitedFleet(9, seed);
    const { nodes } = fleet;
    fleet.announceLimit(3);
    await fleet.send(12, 10);
    fleet.silent.add('n0');
    await fleet.send(12, 1);
    // The nodes notice one after another that the home is lost.
    for (const node of nodes.values()) {
      node.ranking = node.ranking.slice(1);
      await fleet.send(12, 0.1);
    }
    await fleet.send(12, 10);
    t.true(fleet.fullestWindow <= allowed(3), `seed ${seed}: ${fleet.fullestWindow} in 4 s`);
  }
});

test('a node without an answer from the home sends nothing to the backend, and all send again once the home answers', async (t) => {
  const fleet = new LimitedFleet(9, 1);
  fleet.announceLimit(3);
  fleet.silent.add('n0');
  await fleet.send(12, 20);
  const others = fleet.sentMs.length;
  fleet.silent.delete('n0');
  await fleet.send(12, 20);
  // The home itself keeps sending meanwhile.
  t.true(others <= 3 * 20 + 5, `${others} sent`);
  t.true(fleet.sentMs.length - others >= 0.9 * 3 * 20, `${fleet.sentMs.length - others} sent afterwards`);
});

test('a limit that has ended is removed with the first counted answer, and after a minute without an answer', async (t) => {
  const clock = new VirtualClock();
  const limits = new BackendRateLimits({ clock, admit: () => Promise.resolve({ kind: 'admitted' }) });
  limits.recordNotice(BACKEND, 1.4, false);
  limits.recordNotice(BACKEND, 'none', false);
  limits.recordNotice(BACKEND, undefined, true);
  t.is(limits.perSecond(BACKEND), 1.4, 'a request sent before the limit was announced may end after it');
  limits.recordNotice(BACKEND, 'none', true);
  t.is(limits.perSecond(BACKEND), undefined);
  limits.recordNotice(BACKEND, 1.4, false);
  await clock.runUntil(60_000);
  t.is(limits.perSecond(BACKEND), undefined);
});

test('a backend with a limit of zero still receives a request now and then, to find out whether the limit has ended', async (t) => {
  const fleet = new LimitedFleet(9, 1);
  fleet.announceLimit(0);
  await fleet.send(10, 40);
  t.true(fleet.sentMs.length >= 2 && fleet.fullestWindow <= allowed(0), `${fleet.sentMs.length} sent`);
});

test('params that are not a valid borrow request are rejected', (t) => {
  const request = {
    subject: 'i1',
    needed: [1],
    ahead: 0,
    returned: 0,
    demand: 1,
    rule: { ratePerSecond: 1, burst: 2 },
  };
  const question = { node: 'n1', group: 0, requests: [request], later: 1 };
  t.deepEqual(rateBorrowParams.safeParse(question).data?.requests, [request]);
  const wrong: unknown[] = [
    undefined,
    null,
    'text',
    { ...question, requests: {} },
    { ...question, requests: [{ ...request, rule: undefined }] },
    { ...question, requests: [{ ...request, rule: { ratePerSecond: -1, burst: 2 } }] },
    { ...question, requests: [{ ...request, needed: [-5] }] },
    { ...question, requests: [{ ...request, returned: 'all' }] },
  ];
  for (const params of wrong)
    t.is(rateBorrowParams.safeParse(params).data, undefined, JSON.stringify(params));
});
