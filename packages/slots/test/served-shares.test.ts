import test from 'ava';
import { ServedShares } from '../src/served-shares.js';
import { plainRequest } from './new-backend-pool.js';

const first = plainRequest({ route: 'first' });
const added = plainRequest({ route: 'added' });

function overloaded(): ServedShares {
  const shares = new ServedShares();
  for (let count = 0; count < 100; count += 1) {
    shares.recordAsked(first, 0);
    if (count % 2 === 0) shares.recordGranted(first, 0);
    else shares.recordRefused(first, 0);
  }
  return shares;
}

test('a kind that is served far less often than the rest lacks as many grants as make up half of their share', (t) => {
  const shares = overloaded();
  for (let count = 0; count < 20; count += 1) shares.recordAsked(added, 0);
  const { least: missing } = shares.missing(added, 0);
  t.true(missing > 4 && missing < 5, `${missing}`);
  t.is(shares.missing(first, 0).least, 0);
});

test('a kind has its own share by route and by priority', (t) => {
  const shares = overloaded();
  const lessUrgent = plainRequest({ route: 'first', priority: 5 });
  shares.recordAsked(lessUrgent, 0);
  t.true(shares.missing(lessUrgent, 0).least > 0);
  t.is(shares.missing(first, 0).least, 0);
});

test('what was refused long ago counts no more', (t) => {
  const shares = overloaded();
  for (let count = 0; count < 20; count += 1) shares.recordAsked(added, 0);
  t.true(shares.missing(added, 60_000).least < 0.01);
});

test('a pool that has granted nothing favours nobody', (t) => {
  const shares = new ServedShares();
  shares.recordAsked(added, 0);
  t.deepEqual(shares.missing(added, 0), { least: 0, rank: 0 });
});

test('describes the share of each priority that was granted, and leaves out priorities without recent requests', (t) => {
  const shares = overloaded();
  const lessUrgent = plainRequest({ route: 'first', priority: 5 });
  for (let count = 0; count < 20; count += 1) shares.recordRefused(lessUrgent, 0);
  t.is(shares.describe(0), '0:0.50 5:0.00');
  t.is(shares.describe(60_000), '');
});

test('a kind lacks the grants to be refused less often than a less urgent one, by each level of priority', (t) => {
  const shares = overloaded();
  const urgent = (priority: number) => plainRequest({ route: 'urgent', priority });
  for (const priority of [-1, -2])
    for (let count = 0; count < 16; count += 1) shares.recordRefused(urgent(priority), 0);
  // Half of the requests of priority 0 are refused, so three eighths at most of those of the next priority are.
  t.is(shares.missing(urgent(-1), 0).rank, 10);
  t.is(shares.missing(urgent(-2), 0).rank, 11.5);
  t.is(shares.missing(first, 0).rank, 0);
});

test('requests that wait are in no share of a priority', (t) => {
  const shares = new ServedShares();
  const urgent = plainRequest({ route: 'urgent', priority: 0 });
  const lessUrgent = plainRequest({ priority: 2 });
  for (let count = 0; count < 20; count += 1) {
    shares.recordAsked(urgent, 0);
    shares.recordAsked(lessUrgent, 0);
    shares.recordGranted(lessUrgent, 0);
  }
  t.is(shares.missing(urgent, 0).rank, 0);
  t.is(shares.describe(0), '2:1.00');
});
