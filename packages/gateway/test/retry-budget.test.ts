import { VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import { RetryBudget } from '../src/index.js';

const OPTIONS = { ratio: 0.2, windowMs: 10_000, slack: 60 };

test('nodes that share a budget stay within it together in every window', async (t) => {
  const clock = new VirtualClock();
  const nodes = 6;
  const budgets = Array.from({ length: nodes }, () => new RetryBudget(clock, OPTIONS, () => 1 / nodes));
  const retries: number[] = [];
  const requests: number[] = [];
  for (let atMs = 0; atMs < 60_000; atMs += 20) {
    await clock.runUntil(atMs);
    const budget = budgets[(atMs / 20) % nodes];
    budget?.countRequest();
    requests.push(atMs);
    if (budget?.tryTake() === true) retries.push(atMs);
  }
  const within = (times: readonly number[], fromMs: number): number =>
    times.filter((atMs) => atMs >= fromMs && atMs < fromMs + OPTIONS.windowMs).length;
  for (let fromMs = 0; fromMs < 50_000; fromMs += 250) {
    const allowed = OPTIONS.ratio * within(requests, fromMs) + OPTIONS.slack;
    t.true(within(retries, fromMs) <= allowed);
  }
  t.true(retries.length > 100, 'the budget is used, not merely respected');
});

test('the budget recovers when its window has passed', async (t) => {
  const clock = new VirtualClock();
  const budget = new RetryBudget(clock, OPTIONS, () => 1);
  let taken = 0;
  while (budget.tryTake()) taken += 1;
  t.true(taken > 30 && taken <= 60);
  await clock.runUntil(12_000);
  t.true(budget.tryTake());
});
