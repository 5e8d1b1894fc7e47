import { VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import { FetchWindow } from '../src/fetch-window.js';

const BASELINE_MS = 250;

/**
 * Simulates a store that serves up to `capacity` fetches in the baseline time and more in proportionally longer time. Each
 * round uses the whole window. Returns the window size of each round.
 */
async function fetchInRounds(
  window: FetchWindow,
  clock: VirtualClock,
  capacity: number,
  rounds: number,
): Promise<number[]> {
  const sizes: number[] = [];
  for (let round = 0; round < rounds; round += 1) {
    const inProgress = window.size;
    const tookMs = BASELINE_MS * Math.max(inProgress / capacity, 1);
    // Requests repeatedly come slightly too early, because the load time estimate is tight.
    for (let ageMs = BASELINE_MS; ageMs < tookMs; ageMs += 50) {
      for (let fetch = 0; fetch < inProgress; fetch += 1)
        window.recordMissing(String(fetch), ageMs, inProgress);
    }
    await clock.runUntil(clock.now() + Math.max(tookMs, 350));
    for (let ended = 1; ended <= inProgress; ended += 1) window.recordArrival(tookMs, inProgress - ended);
    sizes.push(inProgress);
  }
  return sizes;
}

for (const capacity of [8, 32, 100]) {
  test(`the window converges on the capacity of a store that serves ${capacity} fetches at full speed`, async (t) => {
    const clock = new VirtualClock();
    const sizes = await fetchInRounds(new FetchWindow(clock, BASELINE_MS), clock, capacity, 60);
    const last = sizes.slice(-30);
    t.true(Math.max(...last) <= capacity * 1.5, `largest ${Math.max(...last)}`);
    t.true(Math.min(...last) >= capacity * 0.5, `smallest ${Math.min(...last)}`);
  });
}

test('a window that is not in use does not grow', (t) => {
  const window = new FetchWindow(new VirtualClock(), BASELINE_MS);
  const before = window.size;
  for (let fetches = 0; fetches < 100; fetches += 1) window.recordArrival(BASELINE_MS, 1);
  t.is(window.size, before);
});

test('delayed fetches within one round shrink the window only once', (t) => {
  const window = new FetchWindow(new VirtualClock(), BASELINE_MS);
  const before = window.size;
  for (let fetch = 0; fetch < 12; fetch += 1) window.recordMissing(String(fetch), 500, 12);
  const once = window.size;
  t.true(once < before);
  for (let fetch = 12; fetch < 24; fetch += 1) window.recordMissing(String(fetch), 500, 12);
  t.is(window.size, once);
});

test('single fetches that stay missing are due to their engine and do not shrink the window', async (t) => {
  const clock = new VirtualClock();
  const window = new FetchWindow(clock, BASELINE_MS);
  const before = window.size;
  for (let ageMs = 260; ageMs < 2500; ageMs += 50) {
    await clock.runUntil(ageMs);
    window.recordMissing('engine/adapter', ageMs, 12);
    window.recordMissing('engine/other', ageMs, 12);
  }
  t.is(window.size, before);
});

test('any number of late fetches does not shrink the window while others come in time', async (t) => {
  const clock = new VirtualClock();
  const window = new FetchWindow(clock, BASELINE_MS);
  for (let round = 0; round < 60; round += 1) {
    await clock.runUntil(clock.now() + BASELINE_MS);
    const inProgress = window.size;
    for (let fetch = 0; fetch < inProgress / 2; fetch += 1)
      window.recordMissing(`${round}/${fetch}`, 2 * BASELINE_MS, inProgress);
    for (let ended = 1; ended <= inProgress / 2; ended += 1)
      window.recordArrival(BASELINE_MS, inProgress - ended);
  }
  t.true(window.size > 100, `size ${window.size}`);
});

test('a window that shrank while the store was slow grows again', async (t) => {
  const clock = new VirtualClock();
  const window = new FetchWindow(clock, BASELINE_MS);
  await fetchInRounds(window, clock, 80, 30);
  await fetchInRounds(window, clock, 8, 10);
  t.true(window.size <= 16, `size ${window.size}`);
  const sizes = await fetchInRounds(window, clock, 80, 80);
  t.true(Math.max(...sizes) >= 40, `largest ${Math.max(...sizes)}`);
});

test('fetches that are only slightly late do not shrink the window', (t) => {
  const window = new FetchWindow(new VirtualClock(), BASELINE_MS);
  const before = window.size;
  for (let fetch = 0; fetch < 40; fetch += 1) window.recordMissing(String(fetch), 280, 40);
  t.is(window.size, before);
});

test('the initial window allows one fetch per engine, and no longer follows the engine count after the first fetch', (t) => {
  const window = new FetchWindow(new VirtualClock(), BASELINE_MS);
  window.setEngineCount(6);
  t.is(window.size, 12);
  window.setEngineCount(98);
  t.is(window.size, 98);
  window.recordArrival(BASELINE_MS, 1);
  window.setEngineCount(300);
  t.is(window.size, 98);
});

test('an initial window far above the capacity of the store is corrected within a few rounds', async (t) => {
  const clock = new VirtualClock();
  const window = new FetchWindow(clock, BASELINE_MS);
  window.setEngineCount(100);
  const sizes = await fetchInRounds(window, clock, 16, 12);
  t.true(Math.max(...sizes.slice(4)) <= 16 * 1.6, `sizes ${sizes.join(' ')}`);
});
