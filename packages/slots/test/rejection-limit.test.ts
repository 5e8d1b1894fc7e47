import test from 'ava';
import { PoolUnderTest, backend } from './new-backend-pool.js';

const SLOTS = 6;
/** Requests that the backend really takes at a time, of which its entry says nothing. */
const ROOM = 2;
const SERVICE_MS = 200;
const REJECTED_AFTER_MS = 4;
const REQUEST_PERIOD_MS = 25;
const DURATION_MS = 5000;
const LIMIT = 5;

/** Grants requests on a backend that has less room than its entry says; returns when it turned requests away. */
async function overload(limit: number | undefined): Promise<number[]> {
  const setup = new PoolUnderTest([backend('a', SLOTS)], limit);
  const { clock, pool } = setup;
  const rejectedMs: number[] = [];
  const seen = new Set<string>();
  let running = 0;
  const arrive = (id: string): void => {
    if (running >= ROOM) {
      rejectedMs.push(clock.now());
      clock.setTimer(REJECTED_AFTER_MS, () => pool.release(id, 'refused'));
      return;
    }
    running += 1;
    clock.setTimer(SERVICE_MS, () => {
      running -= 1;
      pool.release(id, 'served');
    });
  };
  for (let atMs = 0; atMs < DURATION_MS; atMs += 1) {
    if (atMs % REQUEST_PERIOD_MS === 0) setup.ask();
    await clock.runUntil(atMs);
    for (const id of setup.decisions.keys()) {
      if (seen.has(id)) continue;
      seen.add(id);
      if (setup.grantedTo(id) !== undefined) arrive(id);
    }
  }
  return rejectedMs;
}

function mostInOneSecond(timesMs: readonly number[]): number {
  return Math.max(
    0,
    ...timesMs.map((fromMs) => timesMs.filter((ms) => ms >= fromMs && ms < fromMs + 1000).length),
  );
}

// A backend that fails when it turns away too many requests in a second was granted them at any rate.
test('a backend that announced a limit turns away no more granted requests than that in a second', async (t) => {
  t.true(mostInOneSecond(await overload(undefined)) > LIMIT, 'without a limit it turns away more');
  t.true(mostInOneSecond(await overload(LIMIT)) <= LIMIT);
});
