import test from 'ava';
import { VirtualClock } from '@canvasridge/clock';
import { HOME_EPOCH_MS, RequestKeys, RetryBudget, formatHome, parseHome } from '../src/index.js';

test('only the first request with a key runs; later ones get its outcome', async (t) => {
  const keys = new RequestKeys(new VirtualClock());
  const first = keys.claim(keys.epoch(), 'k');
  const second = keys.claim(keys.epoch(), 'k');
  t.is(first.kind, 'run');
  if (first.kind !== 'run' || second.kind !== 'wait') return t.fail(second.kind);
  first.settle({ kind: 'unknown' });
  t.deepEqual(await second.outcome, { kind: 'unknown' });
  t.is(keys.claim(keys.epoch(), 'k').kind, 'wait');
});

test('a key may be used again if its request certainly did not run', (t) => {
  const keys = new RequestKeys(new VirtualClock());
  const first = keys.claim(keys.epoch(), 'k');
  if (first.kind === 'run') first.settle({ kind: 'not-executed' });
  t.is(keys.claim(keys.epoch(), 'k').kind, 'run');
});

test('the right to run a key is handed to one process only, and not if it runs here', (t) => {
  const keys = new RequestKeys(new VirtualClock());
  const epoch = keys.epoch();
  t.is(keys.transfer(epoch, 'k', 'b~1'), 'granted');
  t.is(keys.transfer(epoch, 'k', 'b~1'), 'granted');
  t.is(keys.transfer(epoch, 'k', 'c~1'), 'elsewhere');
  t.is(keys.claim(epoch, 'k').kind, 'elsewhere');
  keys.claim(epoch, 'mine');
  t.is(keys.transfer(epoch, 'mine', 'b~1'), 'known-here');
});

test('a key of a dropped epoch is unknown and does not run', async (t) => {
  const clock = new VirtualClock();
  const keys = new RequestKeys(clock);
  const epoch = keys.epoch();
  const sinceEpochStartMs = clock.wallTime() % HOME_EPOCH_MS;
  await clock.runUntil(HOME_EPOCH_MS * 1.5 - sinceEpochStartMs);
  t.is(keys.claim(epoch, 'k').kind, 'run');
  await clock.runUntil(HOME_EPOCH_MS * 2.5 - sinceEpochStartMs);
  t.is(keys.claim(epoch, 'k').kind, 'unknown');
  t.is(keys.transfer(epoch, 'k', 'b~1'), 'unknown');
});

test('a formatted home token is parsed back unchanged, and other texts are rejected', (t) => {
  const home = { nodeId: 'node-a', processToken: 'ab12', epoch: 7 };
  t.deepEqual(parseHome(formatHome(home)), home);
  for (const text of ['', 'node-a', 'a~b', 'a~b~c', 'a~b~1~2']) t.is(parseHome(text), undefined);
});

test('retries stay within their ratio to the first attempts', (t) => {
  const budget = new RetryBudget(0.2, 10);
  while (budget.withdraw());
  for (let request = 0; request < 100; request += 1) budget.deposit();
  let retries = 0;
  while (budget.withdraw()) retries += 1;
  t.is(retries, 10);
  for (let request = 0; request < 20; request += 1) budget.deposit();
  retries = 0;
  while (budget.withdraw()) retries += 1;
  t.true(retries <= 4 && retries >= 3);
});
