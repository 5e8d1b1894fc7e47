/**
 * Seen in a hunt: a pool of plain backends had less capacity than its requests needed for fifteen seconds. Of the
 * requests on a route that had been added later 8 in 100 were served, of those on the first routes 74.
 */
import test from 'ava';
import { PoolUnderTest, backend } from './new-backend-pool.js';

const SERVICE_MS = 100;
const DURATION_MS = 20_000;
/** Requests a second: more than the four slots serve. */
const URGENT_PER_SECOND = 60;
const OTHER_PER_SECOND = 10;
/** The platform allows no route that was added later to be served less often, relative to the first ones. */
const MIN_RELATIVE_SHARE = 0.25;

// Guards against starving the requests of one route while a pool is overloaded for long.
test('under lasting overload a less urgent route is served at least a quarter as often as the others', async (t) => {
  const setup = new PoolUnderTest([backend('a'), backend('b')]);
  const { clock, pool } = setup;
  const released = new Set<string>();
  const asked = { urgent: [] as string[], other: [] as string[] };
  const releaseGranted = (ids: readonly string[]): void => {
    for (const id of ids) {
      if (released.has(id) || setup.grantedTo(id) === undefined) continue;
      released.add(id);
      clock.setTimer(SERVICE_MS, () => pool.release(id, 'served'));
    }
  };
  const stepMs = 5;
  for (let atMs = 0; atMs < DURATION_MS; atMs += stepMs) {
    if (isDue(atMs, stepMs, URGENT_PER_SECOND)) asked.urgent.push(setup.ask({ priority: 0 }));
    if (isDue(atMs, stepMs, OTHER_PER_SECOND)) asked.other.push(setup.ask({ priority: 2 }));
    releaseGranted([...asked.urgent.slice(-200), ...asked.other.slice(-200)]);
    await clock.runUntil(clock.now() + stepMs);
  }
  const share = (ids: readonly string[]): number => ids.filter((id) => released.has(id)).length / ids.length;
  const [urgent, other] = [share(asked.urgent), share(asked.other)];
  t.true(
    other >= urgent * MIN_RELATIVE_SHARE,
    `served: urgent ${urgent.toFixed(2)}, other ${other.toFixed(2)}`,
  );
});

/** Whether one of `perSecond` evenly spaced requests falls into the step. */
function isDue(atMs: number, stepMs: number, perSecond: number): boolean {
  return Math.floor((atMs * perSecond) / 1000) !== Math.floor(((atMs + stepMs) * perSecond) / 1000);
}
