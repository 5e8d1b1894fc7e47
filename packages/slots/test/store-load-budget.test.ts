import { VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import { StoreLoadBudget } from '../src/index.js';

const WINDOW_MS = 5000;
const STEP_MS = 20;
/** Loads beyond the rate that the users' rule allows in each window. */
const ALLOWANCE = 3;

for (const rate of [0.5, 2.1, 18]) {
  test(`no window has more loads than ${rate} per second allow, even if the budget is always used up`, async (t) => {
    const clock = new VirtualClock();
    const budget = new StoreLoadBudget(clock);
    budget.setRate(rate);
    const takenMs: number[] = [];
    for (let atMs = 0; atMs <= 30_000; atMs += STEP_MS) {
      await clock.runUntil(atMs);
      while (budget.take()) takenMs.push(atMs);
    }
    t.true(takenMs.length >= rate * 30 * 0.7, 'most of the rate is used');
    for (const fromMs of takenMs) {
      const count = takenMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + WINDOW_MS).length;
      t.true(count <= (rate * WINDOW_MS) / 1000 + ALLOWANCE, `${count} loads from ${fromMs}`);
    }
  });
}
