import { socketAddress } from '@canvasridge/addresses';
import { VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import { BackendListUpdater, FleetState, type BackendDescription } from '../src/index.js';

/**
 * Time after the store's return by which expired entries are written again, and the heartbeat interval, by
 * the platform's protocol.
 */
const RETURN_MS = 2000;
const HEARTBEAT_MS = 1200;

function backend(id: string, state: 'ready' | 'draining' = 'ready'): BackendDescription {
  return { id, service: 's', address: socketAddress('127.0.0.1:1'), zone: 'z', state, slots: 1, models: [] };
}

/**
 * A node whose list of backends was last known to be complete at `completeMs`; at time 0 unless a test
 * changes it.
 */
class Node {
  readonly clock = new VirtualClock();
  readonly fleet = new FleetState();
  completeMs = 0;
  readonly listUpdater = new BackendListUpdater({
    fleet: this.fleet,
    clock: this.clock,
    heartbeatMs: HEARTBEAT_MS,
    listAgeMs: () => this.clock.now() - this.completeMs,
    onRemovalDeferred: () => undefined,
    onListedAgain: () => undefined,
  });

  constructor() {
    this.listUpdater.replace(10, [
      { revision: 1, value: backend('stays') },
      { revision: 2, value: backend('leaves', 'draining') },
    ]);
  }
}

test('a removal is applied at once while the store is available', (t) => {
  const { fleet, listUpdater } = new Node();
  listUpdater.remove(11, 'stays');
  t.is(fleet.backend('stays'), undefined);
});

test('an entry that expired while the store was unavailable and is written again is never removed', async (t) => {
  const { clock, fleet, listUpdater } = new Node();
  await clock.runUntil(5000);
  listUpdater.beginUpdate();
  listUpdater.remove(11, 'stays');
  t.truthy(fleet.backend('stays'));
  await clock.runUntil(5000 + RETURN_MS - 100);
  t.truthy(fleet.backend('stays'), 'it may be written again within two seconds');
  fleet.applyBackend(12, backend('stays'));
  await clock.runUntil(9000);
  t.truthy(fleet.backend('stays'));
});

test('an entry that is not written again in time is removed', async (t) => {
  const { clock, fleet, listUpdater } = new Node();
  await clock.runUntil(5000);
  listUpdater.beginUpdate();
  listUpdater.replace(11, [{ revision: 2, value: backend('leaves', 'draining') }]);
  t.truthy(fleet.backend('stays'));
  await clock.runUntil(5000 + RETURN_MS + 1);
  t.is(fleet.backend('stays'), undefined);
});

test('a draining backend is removed at once', async (t) => {
  const { clock, fleet, listUpdater } = new Node();
  await clock.runUntil(5000);
  listUpdater.beginUpdate();
  listUpdater.remove(11, 'leaves');
  t.is(fleet.backend('leaves'), undefined);
});

test('a removal is applied at once if the store was unavailable too briefly for entries to expire', async (t) => {
  const node = new Node();
  await node.clock.runUntil(5000);
  node.completeMs = 5000;
  await node.clock.runUntil(5000 + 2 * HEARTBEAT_MS - 1);
  node.listUpdater.beginUpdate();
  node.listUpdater.remove(11, 'stays');
  t.is(node.fleet.backend('stays'), undefined);
});

test('a removal long after the return of the store is applied at once', async (t) => {
  const node = new Node();
  await node.clock.runUntil(5000);
  node.listUpdater.beginUpdate();
  node.listUpdater.replace(11, [{ revision: 1, value: backend('stays') }]);
  node.completeMs = 5000;
  await node.clock.runUntil(5000 + RETURN_MS + 1);
  node.completeMs = node.clock.now();
  node.listUpdater.beginUpdate();
  node.listUpdater.remove(12, 'stays');
  t.is(node.fleet.backend('stays'), undefined);
});

test('a removal shortly after the return is deferred, even if the first answer contained no change', async (t) => {
  const node = new Node();
  await node.clock.runUntil(5000);
  node.listUpdater.beginUpdate();
  node.completeMs = 5000;
  await node.clock.runUntil(5500);
  node.listUpdater.beginUpdate();
  node.listUpdater.remove(11, 'stays');
  t.truthy(node.fleet.backend('stays'));
  await node.clock.runUntil(5000 + RETURN_MS + 1);
  t.is(node.fleet.backend('stays'), undefined);
});
