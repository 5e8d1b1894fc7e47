/**
 * Seen in production: while a pool of plain backends was overloaded, none of 20 requests on a route that had been
 * added was served, and more than half of those on the first routes were. The added route had a timeout of 400 ms, the
 * others of four seconds.
 */
import test from 'ava';
import { playOverload } from './overloaded-pool.js';

const DURATION_MS = 30_000;
const SEEDS = [1, 2, 3, 4, 5, 6];
/** The platform allows no route that was added later to be served less often, relative to the first ones. */
const MIN_RELATIVE_SHARE = 0.25;

// Guards against refusing all requests of a route with a short timeout while requests on other routes fill the queue.
test('under lasting overload a route with a short timeout is served at least a quarter as often as the others', async (t) => {
  for (const seed of SEEDS) {
    const { first, added } = await playOverload({
      kinds: {
        first: { perSecond: 100, request: { route: 'first', timeoutMs: 4000, startWithinMs: 4000 } },
        added: { perSecond: 2, request: { route: 'added', timeoutMs: 400, startWithinMs: 1000 } },
      },
      backends: 2,
      serviceMs: 90,
      durationMs: DURATION_MS,
      seed,
    });
    t.true(
      added.served >= first.served * MIN_RELATIVE_SHARE,
      `seed ${seed}: first ${first.served.toFixed(2)}, added ${added.served.toFixed(2)} of ${added.asked}`,
    );
  }
});

test('the least share of some routes costs the urgent requests of an overloaded pool little', async (t) => {
  const kinds = {
    urgent: {
      perSecond: 50,
      request: { route: 'urgent', priority: 0, timeoutMs: 4000, startWithinMs: 4000 },
    },
    other: { perSecond: 50, request: { route: 'other', priority: 2, timeoutMs: 1500, startWithinMs: 1500 } },
  };
  const overload = { kinds, backends: 2, serviceMs: 90, durationMs: DURATION_MS, seed: 1 };
  const { urgent } = await playOverload(overload);
  const without = await playOverload({ ...overload, disabled: new Set(['least-share'] as const) });
  t.true(urgent.inTime > without.urgent.inTime * 0.9, `${urgent.inTime}, without ${without.urgent.inTime}`);
});
