/**
 * Guards against requests that count in no share. A request whose client leaves while it waits for a slot counts neither
 * as granted nor as refused, so a kind of request whose clients mostly leave looks as if it were always served, and comes
 * after less urgent ones.
 */
import { Random } from '@canvasridge/clock';
import test from 'ava';
import { PoolUnderTest, backend } from './new-backend-pool.js';

const SEEDS = [1, 2, 3, 4, 5, 6];
const STEP_MS = 5;
const DURATION_MS = 20_000;
const SERVICE_MS = 100;
/** Clients of urgent requests leave after this time, of which the leader is not told. */
const URGENT_PATIENCE_MS = 180;
/** What the pool counts may differ from what it did by this share, as it forgets old requests. */
const MAX_DIFFERENCE = 0.1;

const LESS_URGENT = { priority: 2, objectiveMs: 388, timeoutMs: 4000, startWithinMs: 4000 };
const URGENT = { route: 'added', priority: 0, objectiveMs: 1000, timeoutMs: 1000, startWithinMs: 900 };
const KINDS = {
  first: { perSecond: 100, patienceMs: 4000, request: { ...LESS_URGENT, route: 'first' } },
  second: { perSecond: 44, patienceMs: 4000, request: { ...LESS_URGENT, route: 'second' } },
  added: { perSecond: 25, patienceMs: URGENT_PATIENCE_MS, request: URGENT },
};
type Name = keyof typeof KINDS;
const NAMES = Object.keys(KINDS) as Name[];

interface Played {
  readonly served: Record<Name, number>;
  /** Share of the urgent requests that were granted a slot. */
  readonly granted: number;
  /** The same as the pool counts it, on average. */
  readonly counted: number;
}

/** Sends an overloaded pool requests whose clients leave. */
async function play(seed: number): Promise<Played> {
  const setup = new PoolUnderTest(['a', 'b', 'c'].map((id) => backend(id)));
  const { clock, pool } = setup;
  const random = new Random(seed);
  const asked = { first: 0, second: 0, added: 0 };
  const granted = { first: 0, second: 0, added: 0 };
  const served = { first: 0, second: 0, added: 0 };
  const counts: number[] = [];
  const waiting = new Map<string, { readonly name: Name; readonly leavesMs: number }>();
  const settle = (id: string, name: Name, leavesMs: number): void => {
    const isDecided = setup.decisions.has(id);
    if (!isDecided && clock.now() < leavesMs) return;
    waiting.delete(id);
    if (!isDecided) pool.cancel(id);
    if (setup.grantedTo(id) === undefined) return;
    granted[name] += 1;
    const leftMs = Math.max(leavesMs - clock.now(), 0);
    const isServed = leftMs >= SERVICE_MS;
    if (isServed) served[name] += 1;
    clock.setTimer(Math.min(leftMs, SERVICE_MS), () => pool.release(id, isServed ? 'served' : 'cancelled'));
  };
  while (clock.now() < DURATION_MS) {
    for (const name of NAMES) {
      const { perSecond, patienceMs, request } = KINDS[name];
      if (random.next() >= (perSecond * STEP_MS) / 1000) continue;
      waiting.set(setup.ask(request), { name, leavesMs: clock.now() + patienceMs });
      asked[name] += 1;
    }
    for (const [id, { name, leavesMs }] of waiting) settle(id, name, leavesMs);
    const counted = /0:([0-9.]+)/.exec(pool.describe().shares)?.[1];
    if (counted !== undefined) counts.push(Number(counted));
    await clock.runUntil(clock.now() + STEP_MS);
  }
  for (const name of NAMES) served[name] /= asked[name];
  const counted = counts.reduce((sum, share) => sum + share, 0) / counts.length;
  return { served, granted: granted.added / asked.added, counted };
}

test('a pool counts requests whose clients left while they waited as requests that got no slot', async (t) => {
  for (const seed of SEEDS) {
    const { served, granted, counted } = await play(seed);
    const shares = NAMES.map((name) => `${name} ${served[name].toFixed(2)}`).join(', ');
    t.true(
      counted <= granted + MAX_DIFFERENCE,
      `seed ${seed}: ${granted.toFixed(2)} of the urgent requests were granted, the pool counts ${counted.toFixed(2)}; served ${shares}`,
    );
  }
});
