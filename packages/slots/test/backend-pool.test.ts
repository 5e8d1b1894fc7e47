import test from 'ava';
import { PoolUnderTest, backend } from './new-backend-pool.js';

test('A backend is granted as many requests as it has slots, and one that it queues only when no slot is free', (t) => {
  const setup = new PoolUnderTest([backend('a'), backend('b')]);
  const ids = Array.from({ length: 7 }, () => setup.ask());
  const granted = ids.map((id) => setup.grantedTo(id));
  t.deepEqual(granted.slice(0, 4).sort(), ['a', 'a', 'b', 'b']);
  t.deepEqual(granted.slice(4, 6).sort(), ['a', 'b']);
  t.is(granted[6], undefined);
  setup.pool.release(ids[0] as string, 'served');
  t.is(setup.grantedTo(ids[6] as string), granted[0]);
});

test('A backend that turns away the request that it should queue gets none beyond its slots for a while', async (t) => {
  const setup = new PoolUnderTest([backend('a', 1)]);
  const [running, queued] = [setup.ask(), setup.ask()];
  setup.pool.release(queued, 'refused');
  const waiting = setup.ask();
  await setup.clock.runUntil(500);
  t.is(setup.grantedTo(waiting), undefined);
  setup.pool.release(running, 'served');
  t.is(setup.grantedTo(waiting), 'a');
});

test('A slow backend is granted no request beyond its slots', async (t) => {
  const setup = new PoolUnderTest([backend('a', 1), backend('b', 1)]);
  await setup.serve(20, 'a', ['b'], 80);
  setup.ask({ excluded: ['a'] });
  await setup.clock.runUntil(setup.clock.now() + 400);
  t.is(setup.grantedTo(setup.ask({ excluded: ['a'] })), undefined);
  t.is(setup.grantedTo(setup.ask({ excluded: ['b'] })), 'a');
  t.is(setup.grantedTo(setup.ask({ excluded: ['b'] })), 'a');
});

test('A slot of a slow backend goes to a request that is late in any case, before one that a fast backend may serve in time', async (t) => {
  const setup = new PoolUnderTest([backend('a', 1), backend('b', 1)]);
  await setup.serve(20, 'a', ['b'], 80);
  const slow = setup.ask({ excluded: ['a'] });
  await setup.clock.runUntil(setup.clock.now() + 400);
  for (let count = 0; count < 2; count += 1) setup.ask({ excluded: ['b'] });
  const inTime = setup.ask({ ageMs: 200 });
  const late = setup.ask({ ageMs: 500 });
  setup.pool.release(slow, 'cancelled');
  t.is(setup.grantedTo(late), 'b');
  t.is(setup.grantedTo(inTime), undefined);
});

test('A backend that turned away a granted request gets none until one of its requests ends', (t) => {
  const setup = new PoolUnderTest([backend('a')]);
  const [running, turnedAway] = [setup.ask(), setup.ask()];
  setup.pool.release(turnedAway, 'refused');
  const waiting = setup.ask();
  t.is(setup.grantedTo(waiting), undefined);
  setup.pool.release(running, 'served');
  t.is(setup.grantedTo(waiting), 'a');
});

test('A backend that turned away a granted request is tried again after a bounded time', async (t) => {
  const setup = new PoolUnderTest([backend('a')]);
  setup.pool.release(setup.ask(), 'refused');
  const waiting = setup.ask();
  t.is(setup.grantedTo(waiting), undefined);
  await setup.clock.runUntil(200);
  t.is(setup.grantedTo(waiting), 'a');
});

test('A backend that became slow is noticed by its running requests, and forgiven within a second of being fast', async (t) => {
  const setup = new PoolUnderTest([backend('a'), backend('b')]);
  await setup.serve(10, 'a', ['b'], 80);
  await setup.serve(10, 'b', ['a'], 80);
  const slow = setup.ask({ excluded: ['b'] });
  await setup.clock.runUntil(setup.clock.now() + 400);
  const [first, second] = [setup.ask(), setup.ask()];
  t.deepEqual([setup.grantedTo(first), setup.grantedTo(second)], ['b', 'b']);
  for (const id of [slow, first, second]) setup.pool.release(id, 'served');
  await setup.serve(8, 'a', ['b'], 80);
  await setup.serve(1, 'b', ['a'], 250);
  t.is(setup.grantedTo(setup.ask()), 'a');
});

test('A backend in the zone of the requesting node is preferred while it is as free as the others', (t) => {
  const setup = new PoolUnderTest([backend('a', 4, 'one'), backend('b', 4, 'two')]);
  t.is(setup.grantedTo(setup.ask({ zone: 'two' })), 'b');
  t.is(setup.grantedTo(setup.ask({ zone: 'one' })), 'a');
  t.is(setup.grantedTo(setup.ask({ zone: 'one' })), 'a');
  // Another request would find more of its slots in use than is outweighed by the zone.
  t.is(setup.grantedTo(setup.ask({ zone: 'one' })), 'b');
});

test('A request is refused at once if its turn comes too late, and told when that is', (t) => {
  const setup = new PoolUnderTest([backend('a')]);
  for (let count = 0; count < 12; count += 1) setup.ask({ timeoutMs: 10_000, startWithinMs: 10_000 });
  const late = setup.ask({ timeoutMs: 400 });
  const decision = setup.decisions.get(late);
  t.is(decision?.kind, 'refused');
  if (decision?.kind !== 'refused') return;
  t.is(decision.reason, 'no-slot-in-time');
  t.true(decision.retryAfterMs >= 500 && decision.retryAfterMs <= 600, `${decision.retryAfterMs}`);
});

test('A request is not refused merely because it will miss its objective', (t) => {
  const setup = new PoolUnderTest([backend('a')]);
  for (let count = 0; count < 12; count += 1) setup.ask();
  t.is(setup.decisions.get(setup.ask({ ageMs: 900 })), undefined);
});

test('A request that no backend may serve is refused at once, and those that wait are when the last one leaves', async (t) => {
  const setup = new PoolUnderTest([backend('a', 1)]);
  const excluded = setup.ask({ excluded: ['a'] });
  setup.fill(2);
  const waiting = setup.ask();
  setup.leaving.add('a');
  await setup.clock.runUntil(50);
  for (const id of [excluded, waiting]) {
    const decision = setup.decisions.get(id);
    t.is(decision?.kind === 'refused' ? decision.reason : 'none', 'no-backend');
  }
});

test('A request that asks again keeps its place or its grant, and its end frees one slot', (t) => {
  const setup = new PoolUnderTest([backend('a', 1)]);
  setup.fill(1);
  const [running, waiting, last] = [setup.ask(), setup.ask(), setup.ask()];
  setup.ask({ id: running });
  setup.ask({ id: waiting });
  t.is(setup.pool.describe().waiting, 2);
  t.is(setup.grantedTo(running), 'a');
  setup.pool.release(running, 'served');
  setup.pool.release(running, 'served');
  t.is(setup.grantedTo(waiting), 'a');
  t.is(setup.grantedTo(last), undefined);
});

test('A grant whose node never reports its end comes back after the timeout of the request', async (t) => {
  const setup = new PoolUnderTest([backend('a', 1)]);
  setup.fill(1);
  setup.ask({ timeoutMs: 500 });
  const waiting = setup.ask({ timeoutMs: 20_000, startWithinMs: 20_000 });
  await setup.clock.runUntil(1400);
  t.is(setup.grantedTo(waiting), undefined);
  await setup.clock.runUntil(1600);
  t.is(setup.grantedTo(waiting), 'a');
});

test('A new leader counts the requests that nodes report, once each, and a late release of an unknown one changes nothing', (t) => {
  const setup = new PoolUnderTest([backend('a', 1)]);
  const use = {
    requestId: 'former',
    backendId: 'a',
    model: '',
    adapter: undefined,
    promptTokens: 0,
    started: true,
    leftMs: 1000,
  };
  setup.fill(1);
  setup.pool.adoptUse(use);
  setup.pool.adoptUse(use);
  const waiting = setup.ask();
  setup.pool.release('granted-by-the-former-leader', 'served');
  t.is(setup.grantedTo(waiting), undefined);
  setup.pool.release('former', 'served');
  t.is(setup.grantedTo(waiting), 'a');
});

test('A leader that ends its role refuses those that wait, so that their nodes ask the next one', (t) => {
  const setup = new PoolUnderTest([backend('a', 1)]);
  setup.fill(2);
  const waiting = setup.ask();
  setup.pool.close();
  const decision = setup.decisions.get(waiting);
  t.is(decision?.kind === 'refused' ? decision.reason : 'none', 'stopping');
});

test('A tenant that floods the pool does not keep others from their share, and low priority is still served', (t) => {
  const setup = new PoolUnderTest([backend('a', 1)]);
  setup.fill(1);
  const first = setup.ask();
  const flood = Array.from({ length: 10 }, () =>
    setup.ask({ tenant: 'flood', timeoutMs: 9000, startWithinMs: 9000 }),
  );
  const small = setup.ask({ tenant: 'small', priority: 2, timeoutMs: 9000, startWithinMs: 9000 });
  let running = first;
  const order: string[] = [];
  for (let served = 0; served < 6; served += 1) {
    setup.pool.release(running, 'served');
    running = [...flood, small].find((id) => setup.grantedTo(id) !== undefined && !order.includes(id)) ?? '';
    order.push(running);
  }
  t.true(order.includes(small), order.join(' '));
});
