import { VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import { BackendLapses, FleetState, type BackendDescription } from '../src/index.js';

/** Time after the store's return by which what lapsed is back, and a heartbeat, as the platform's pages give them. */
const RETURN_MS = 2000;
const HEARTBEAT_MS = 1200;

function backend(id: string, state: 'ready' | 'draining' = 'ready'): BackendDescription {
  return { id, service: 's', address: '127.0.0.1:1', zone: 'z', state, slots: 1, models: [] };
}

/** A list that is kept up to date until the store goes away at some moment. */
class State {
  readonly clock = new VirtualClock();
  readonly fleet = new FleetState();
  completeMs = 0;
  readonly lapses = new BackendLapses({
    fleet: this.fleet,
    clock: this.clock,
    heartbeatMs: HEARTBEAT_MS,
    listAgeMs: () => this.clock.now() - this.completeMs,
    onHeld: () => undefined,
    onListedAgain: () => undefined,
  });

  constructor() {
    this.lapses.replace(10, [
      { revision: 1, value: backend('stays') },
      { revision: 2, value: backend('leaves', 'draining') },
    ]);
  }
}

test('a removal takes effect at once while the store answers', (t) => {
  const { fleet, lapses } = new State();
  lapses.remove(11, 'stays');
  t.is(fleet.backend('stays'), undefined);
});

test('an entry that lapsed while the store was away and comes back was never gone', async (t) => {
  const { clock, fleet, lapses } = new State();
  await clock.runUntil(5000);
  lapses.beginUpdate();
  lapses.remove(11, 'stays');
  t.truthy(fleet.backend('stays'));
  await clock.runUntil(5000 + RETURN_MS - 100);
  t.truthy(fleet.backend('stays'), 'it has two seconds to come back');
  fleet.applyBackend(12, backend('stays'));
  await clock.runUntil(9000);
  t.truthy(fleet.backend('stays'));
});

test('an entry that does not come back in time is gone', async (t) => {
  const { clock, fleet, lapses } = new State();
  await clock.runUntil(5000);
  lapses.beginUpdate();
  lapses.replace(11, [{ revision: 2, value: backend('leaves', 'draining') }]);
  t.truthy(fleet.backend('stays'));
  await clock.runUntil(5000 + RETURN_MS + 1);
  t.is(fleet.backend('stays'), undefined);
});

test('a backend that said it leaves is gone at once', async (t) => {
  const { clock, fleet, lapses } = new State();
  await clock.runUntil(5000);
  lapses.beginUpdate();
  lapses.remove(11, 'leaves');
  t.is(fleet.backend('leaves'), undefined);
});

test('an entry that goes while the store was away too shortly for a lapse is gone at once', async (t) => {
  const state = new State();
  await state.clock.runUntil(5000);
  state.completeMs = 5000;
  await state.clock.runUntil(5000 + 2 * HEARTBEAT_MS - 1);
  state.lapses.beginUpdate();
  state.lapses.remove(11, 'stays');
  t.is(state.fleet.backend('stays'), undefined);
});

test('a removal long after the return of the store takes effect at once', async (t) => {
  const state = new State();
  await state.clock.runUntil(5000);
  state.lapses.beginUpdate();
  state.lapses.replace(11, [{ revision: 1, value: backend('stays') }]);
  state.completeMs = 5000;
  await state.clock.runUntil(5000 + RETURN_MS + 1);
  state.completeMs = state.clock.now();
  state.lapses.beginUpdate();
  state.lapses.remove(12, 'stays');
  t.is(state.fleet.backend('stays'), undefined);
});

test('an entry that goes some moments after the return may have lapsed too, though the first answer told no change', async (t) => {
  const state = new State();
  await state.clock.runUntil(5000);
  state.lapses.beginUpdate();
  state.completeMs = 5000;
  await state.clock.runUntil(5500);
  state.lapses.beginUpdate();
  state.lapses.remove(11, 'stays');
  t.truthy(state.fleet.backend('stays'));
  await state.clock.runUntil(5000 + RETURN_MS + 1);
  t.is(state.fleet.backend('stays'), undefined);
});
