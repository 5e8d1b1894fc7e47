import { VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import { BackendLapses, FleetState, type BackendDescription } from '../src/index.js';

const GRACE_MS = 1000;

function backend(id: string, state: 'ready' | 'draining' = 'ready'): BackendDescription {
  return { id, service: 's', address: '127.0.0.1:1', zone: 'z', state, slots: 1, models: [] };
}

function newState(): { clock: VirtualClock; fleet: FleetState; lapses: BackendLapses } {
  const clock = new VirtualClock();
  const fleet = new FleetState();
  const lapses = new BackendLapses(fleet, clock, GRACE_MS, () => undefined);
  lapses.replace(10, [
    { revision: 1, value: backend('stays') },
    { revision: 2, value: backend('leaves', 'draining') },
  ]);
  return { clock, fleet, lapses };
}

test('a removal takes effect at once while the store answers', (t) => {
  const { fleet, lapses } = newState();
  lapses.remove(11, 'stays');
  t.is(fleet.backend('stays'), undefined);
});

test('an entry that lapsed while the store was away and comes back was never gone', async (t) => {
  const { clock, fleet, lapses } = newState();
  lapses.sourceAway();
  await clock.runUntil(5000);
  lapses.remove(11, 'stays');
  t.truthy(fleet.backend('stays'));
  fleet.applyBackend(12, backend('stays'));
  await clock.runUntil(9000);
  t.truthy(fleet.backend('stays'));
});

test('an entry that does not come back in time is gone', async (t) => {
  const { clock, fleet, lapses } = newState();
  lapses.sourceAway();
  await clock.runUntil(5000);
  lapses.replace(11, [{ revision: 2, value: backend('leaves', 'draining') }]);
  t.truthy(fleet.backend('stays'));
  await clock.runUntil(5000 + GRACE_MS + 1);
  t.is(fleet.backend('stays'), undefined);
});

test('a backend that said it leaves is gone at once', (t) => {
  const { fleet, lapses } = newState();
  lapses.sourceAway();
  lapses.remove(11, 'leaves');
  t.is(fleet.backend('leaves'), undefined);
});
