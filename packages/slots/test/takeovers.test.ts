/**
 * Guards against requests that count twice. A request whose backend is silent asks for a second slot while it holds the
 * first one, and gives it up when its backend goes on. Counted as one that got no slot, it put its kind before others and
 * made later requests with its prompt count as late retries.
 */
import { VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import { WaitingList, type WaitingRequest } from '../src/waiting-list.js';
import type { PoolRequest, SlotRequest } from '../src/index.js';
import { PoolUnderTest, backend, plainRequest } from './new-backend-pool.js';
import { newPool } from './new-pool.js';
import { newRequest } from './new-request.js';
import { LEASE_MS, PROFILE, SimulatedEngine } from './simulated-engines.js';

const SEARCHES = 20;
const SERVICE_MS = 50;
const TAKEOVER = {
  route: 'searched',
  ageMs: 1200,
  timeoutMs: 20_000,
  startWithinMs: 20_000,
  isTakeover: true,
};

function wait(list: WaitingList<PoolRequest>, changes: Partial<PoolRequest>): WaitingRequest<PoolRequest> {
  const request = plainRequest({ objectiveMs: 1000, ...changes });
  const decide = (): void => undefined;
  const waiting = { request, arrivedMs: -request.ageMs, returned: false, decide, obstacle: 'none' as const };
  list.add(waiting, 0);
  return waiting;
}

test('searches for another backend that were given up or refused do not count as requests that got no slot', async (t) => {
  const setup = new PoolUnderTest([backend('a', 1)]);
  setup.fill(2);
  await setup.clock.runUntil(10);
  const before = setup.pool.describe().shares;
  for (let count = 0; count < SEARCHES; count += 1) setup.pool.cancel(setup.ask(TAKEOVER));
  for (let count = 0; count < SEARCHES; count += 1) {
    const refused = setup.ask({ ...TAKEOVER, timeoutMs: 1201 });
    t.is(setup.decisions.get(refused)?.kind, 'refused');
  }
  t.is(setup.pool.describe().shares, before);
});

test('searches for another backend that were given up put no later request before others', (t) => {
  const list = new WaitingList<PoolRequest>(() => SERVICE_MS);
  for (let count = 0; count < SEARCHES; count += 1)
    list.granted(wait(list, { route: 'other' }).request.id, 0);
  list.granted(wait(list, { route: TAKEOVER.route }).request.id, 0);
  for (let count = 0; count < SEARCHES; count += 1) list.unserved(wait(list, TAKEOVER).request.id, 0);
  const first = wait(list, { route: 'other', ageMs: 100 });
  const second = wait(list, { route: TAKEOVER.route });
  t.deepEqual(list.inOrder(0), [first, second]);
});

test('a search for another backend takes no grant that its kind lacks', (t) => {
  const list = new WaitingList<PoolRequest>(() => SERVICE_MS);
  for (let count = 0; count < SEARCHES; count += 1)
    list.granted(wait(list, { route: 'other' }).request.id, 0);
  const search = wait(list, { ...TAKEOVER, ageMs: 10 });
  const lacking = Array.from({ length: 2 }, () => wait(list, { route: TAKEOVER.route }));
  t.false(list.underserved(0).includes(search));
  t.true(list.underserved(0).length > 0);
  t.true(list.underserved(0).every((waiting) => lacking.includes(waiting)));
});

test('the slot of a search that was given up is free at once', (t) => {
  const setup = new PoolUnderTest([backend('a', 1)]);
  setup.fill(1);
  const search = setup.ask(TAKEOVER);
  t.is(setup.grantedTo(search), 'a');
  const waiting = setup.ask();
  t.is(setup.grantedTo(waiting), undefined);
  setup.pool.cancel(search);
  setup.pool.release(search, 'cancelled');
  t.is(setup.grantedTo(waiting), 'a');
});

test('a request with the prompt of a refused search for another engine is not taken for its late retry', async (t) => {
  const clock = new VirtualClock();
  const { description } = new SimulatedEngine(clock, 'e1');
  const pool = newPool(clock, [new SimulatedEngine(clock, 'e1')]);
  await clock.runUntil(LEASE_MS * 2);
  const decisions: string[] = [];
  const ask = (changes: Partial<SlotRequest>): void =>
    pool.acquire(newRequest('x', { promptKey: 'prompt', ...changes }), ({ kind }) => decisions.push(kind));
  ask({ isTakeover: true, ageMs: 900, excluded: [description.id] });
  await clock.runUntil(clock.now() + 100);
  t.deepEqual(decisions, ['refused']);
  // The engine is missing from the list for a moment, for which a request waits unless it is old.
  pool.setEngines([], PROFILE);
  ask({});
  await clock.runUntil(clock.now() + 100);
  pool.setEngines([description], PROFILE);
  await clock.runUntil(clock.now() + LEASE_MS);
  t.deepEqual(decisions, ['refused', 'granted']);
});
