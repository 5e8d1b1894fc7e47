import { socketAddress } from '@canvasridge/addresses';
import { VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import { BackendListUpdater, FleetState, type BackendDescription, type NewEra } from '../src/index.js';

const RETURN_MS = 2000;
const HEARTBEAT_MS = 1200;
/** A backend that had left and is listed again after a restore counts as leaving for this time. */
const RESTORE_PERIOD_MS = 3 * HEARTBEAT_MS + RETURN_MS;

function backend(id: string, state: 'ready' | 'draining' = 'ready'): BackendDescription {
  return { id, service: 's', address: socketAddress('127.0.0.1:1'), zone: 'z', state, slots: 1, models: [] };
}

/** A node that has read the list up to revision 10 in era 1, and a removal at revision 11. */
class Node {
  readonly clock = new VirtualClock();
  readonly fleet = new FleetState();
  readonly listedAgain: string[] = [];
  readonly listUpdater = new BackendListUpdater({
    fleet: this.fleet,
    clock: this.clock,
    heartbeatMs: HEARTBEAT_MS,
    listAgeMs: () => 0,
    onRemovalDeferred: () => undefined,
    onListedAgain: (ids) => this.listedAgain.push(...ids),
  });

  constructor() {
    this.fleet.enterEra(1);
    this.listUpdater.replace(10, [
      { revision: 9, value: backend('stays') },
      { revision: 10, value: backend('leaves', 'draining') },
      { revision: 8, value: backend('gone') },
    ]);
    this.listUpdater.remove(11, 'gone');
  }

  /** Reads the list of the store after it was restored from a backup. */
  restoreStore(revision: number, listed: readonly BackendDescription[]): void {
    this.fleet.enterEra(2);
    this.listUpdater.beginUpdate();
    this.listUpdater.replace(
      revision,
      listed.map((value) => ({ revision, value })),
    );
  }
}

test('the first era is not reported as a new one, and lower eras are ignored', (t) => {
  const fleet = new FleetState();
  const eras: NewEra[] = [];
  fleet.onNewEra((era) => eras.push(era));
  fleet.enterEra(4);
  fleet.applyBackend(10, backend('b'));
  fleet.enterEra(4);
  fleet.enterEra(3);
  t.is(fleet.era, 4);
  t.deepEqual(eras, []);
  fleet.enterEra(6);
  t.deepEqual(eras, [{ from: 4, to: 6 }]);
});

test('a new era before the list was read resets the revision of the entries written by operators', (t) => {
  const fleet = new FleetState();
  fleet.enterEra(1);
  fleet.advanceOperatorRevision(50);
  fleet.enterEra(2);
  t.is(fleet.operatorRevision, 0);
});

test('entries of a new era are applied at any revision', (t) => {
  const { fleet, listUpdater } = new Node();
  fleet.enterEra(2);
  listUpdater.beginUpdate();
  fleet.applyBackend(3, backend('stays', 'draining'));
  t.is(fleet.backend('stays')?.state, 'draining');
});

test('a draining backend keeps counting as draining although the restored list has it as ready', async (t) => {
  const node = new Node();
  node.restoreStore(4, [backend('stays'), backend('leaves')]);
  t.true(node.fleet.isLeaving('leaves'));
  t.is(node.fleet.backend('leaves')?.state, 'draining');
  t.deepEqual(node.fleet.leavingBackendsListedReady('s'), ['leaves'], 'other nodes may not know');
  await node.clock.runUntil(2 * RESTORE_PERIOD_MS);
  t.true(node.fleet.isLeaving('leaves'), 'an announced shutdown is final');
});

test('a backend that had left counts as leaving although the restored list has it, and is removed when its entry expires', async (t) => {
  const node = new Node();
  node.restoreStore(4, [backend('stays'), backend('gone')]);
  t.true(node.fleet.isLeaving('gone'));
  await node.clock.runUntil(RESTORE_PERIOD_MS - 1);
  t.true(node.fleet.isLeaving('gone'));
  node.listUpdater.remove(5, 'gone');
  await node.clock.runUntil(RESTORE_PERIOD_MS + 1);
  t.is(node.fleet.backend('gone'), undefined);
  t.deepEqual(node.listedAgain, []);
});

test('a backend whose entry had only expired is used again if it is still listed when restored entries have expired', async (t) => {
  const node = new Node();
  node.restoreStore(4, [backend('stays'), backend('gone')]);
  await node.clock.runUntil(RESTORE_PERIOD_MS + 1);
  t.false(node.fleet.isLeaving('gone'));
  t.is(node.fleet.backend('gone')?.state, 'ready');
  t.deepEqual(node.listedAgain, ['gone']);
});

test('a backend that the restored list lacks has two seconds to write its entry again', async (t) => {
  const node = new Node();
  node.restoreStore(4, []);
  await node.clock.runUntil(RETURN_MS - 1);
  t.is(node.fleet.backend('stays')?.state, 'ready');
  node.fleet.applyBackend(5, backend('stays'));
  await node.clock.runUntil(RETURN_MS + 1);
  t.is(node.fleet.backend('stays')?.state, 'ready');
  const other = new Node();
  other.restoreStore(4, []);
  await other.clock.runUntil(RETURN_MS + 1);
  t.is(other.fleet.backend('stays'), undefined);
});

test('a removal is applied at once by a node that first reads the list long after the restore', async (t) => {
  const node = new Node();
  node.fleet.enterEra(2);
  await node.clock.runUntil(RESTORE_PERIOD_MS);
  node.listUpdater.beginUpdate();
  node.listUpdater.replace(4, []);
  t.is(node.fleet.backend('stays'), undefined);
});

test('a removal that was deferred in one era is not applied in the next one', async (t) => {
  const node = new Node();
  node.restoreStore(4, []);
  await node.clock.runUntil(RETURN_MS - 500);
  node.fleet.enterEra(3);
  node.listUpdater.beginUpdate();
  node.listUpdater.replace(2, [{ revision: 2, value: backend('stays') }]);
  await node.clock.runUntil(RETURN_MS + 1);
  t.is(node.fleet.backend('stays')?.state, 'ready');
});

test('the state of a peer in an earlier era is not applied, and a later era of a peer is entered', (t) => {
  const { fleet } = new Node();
  const ahead = new FleetState();
  ahead.enterEra(2);
  ahead.replaceBackends(3, [{ revision: 3, value: backend('stays', 'draining') }]);
  const before = fleet.listing();
  fleet.applyListing(ahead.listing());
  t.is(fleet.era, 2);
  t.true(fleet.isLeaving('stays'));
  fleet.applyListing(before);
  t.true(fleet.isLeaving('stays'));
  t.is(fleet.backendsRevision, 3);
  t.true(fleet.hasBackendsAsOf({ era: 1, revision: 99 }), 'a point in an earlier era is older');
  t.false(fleet.hasBackendsAsOf({ era: 3, revision: 1 }));
});

test('the list of a peer that names no era is applied until a new era begins', (t) => {
  const { fleet } = new Node();
  const backends = [{ revision: 12, value: backend('stays', 'draining') }];
  const own = new Node().fleet;
  own.applyListing({ revision: 12, backends });
  t.true(own.isLeaving('stays'));
  fleet.enterEra(2);
  fleet.applyListing({ revision: 12, backends });
  t.false(fleet.isLeaving('stays'));
  t.true(fleet.hasBackendsAsOf({ revision: 12 }));
});

// Guards against applying the old list of a peer that does not know yet that the store has published its
// first era.
test('a node in the first published era applies nothing from a peer that read the store before it published one', (t) => {
  const behind = new FleetState();
  behind.replaceBackends(90, [{ revision: 80, value: backend('stays') }]);
  const ahead = new FleetState();
  ahead.applyListing(behind.listing());
  ahead.enterEra(2);
  ahead.applyBackend(5, backend('stays', 'draining'));
  ahead.applyListing(behind.listing());
  t.is(ahead.backendsRevision, 5);
  t.true(ahead.isLeaving('stays'));
  const started = new FleetState();
  started.enterEra(2);
  started.applyBackend(5, backend('stays', 'draining'));
  started.applyListing(behind.listing());
  t.is(started.backendsRevision, 5, 'also not on a node that started in this era');
  ahead.applyListing({ ...behind.listing(), era: undefined });
  t.is(ahead.backendsRevision, 5, 'also not from an older build, which does not know eras');
});

test('an era of a peer that is not an integer is not entered', (t) => {
  const { fleet } = new Node();
  for (const era of ['2', 2.5, NaN, null, Infinity] as unknown as readonly number[]) {
    fleet.applyListing({ era, revision: 12, backends: [] });
    t.is(fleet.era, 1);
    t.is(fleet.backend('stays')?.state, 'ready', String(era));
  }
});

test('nodes that know no era compare revisions alone', (t) => {
  const one = new FleetState();
  const other = new FleetState();
  one.applyBackend(5, backend('b'));
  other.applyListing(one.listing());
  t.is(other.backend('b')?.state, 'ready');
  t.true(other.hasBackendsAsOf({ revision: 5 }));
  t.false(other.hasBackendsAsOf({ revision: 6 }));
});
