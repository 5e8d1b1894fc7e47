import { VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import { BackendLapses, FleetState, type BackendDescription, type NewEra } from '../src/index.js';

const RETURN_MS = 2000;
const HEARTBEAT_MS = 1200;
/** A backend that had left and is listed again by a copy counts as leaving for so long. */
const COPY_LAPSED_MS = 3 * HEARTBEAT_MS + RETURN_MS;

function backend(id: string, state: 'ready' | 'draining' = 'ready'): BackendDescription {
  return { id, service: 's', address: '127.0.0.1:1', zone: 'z', state, slots: 1, models: [] };
}

/** A node that has read the list up to revision 10 in era 1. */
class Node {
  readonly clock = new VirtualClock();
  readonly fleet = new FleetState();
  readonly listedAgain: string[] = [];
  readonly lapses = new BackendLapses({
    fleet: this.fleet,
    clock: this.clock,
    heartbeatMs: HEARTBEAT_MS,
    listAgeMs: () => 0,
    onHeld: () => undefined,
    onListedAgain: (ids) => this.listedAgain.push(...ids),
  });

  constructor() {
    this.fleet.enterEra(1);
    this.lapses.replace(10, [
      { revision: 9, value: backend('stays') },
      { revision: 10, value: backend('leaves', 'draining') },
      { revision: 8, value: backend('gone') },
    ]);
    this.lapses.remove(11, 'gone');
  }

  /** Reads the copy from which the store came back. */
  returned(revision: number, listed: readonly BackendDescription[]): void {
    this.fleet.enterEra(2);
    this.lapses.beginUpdate();
    this.lapses.replace(
      revision,
      listed.map((value) => ({ revision, value })),
    );
  }
}

test('the first era is no new one, and a lower one is none', (t) => {
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

test('an era that rises before the list was read is a new one for the entries of the operators', (t) => {
  const fleet = new FleetState();
  fleet.enterEra(1);
  fleet.confirmOperatorState(50);
  fleet.enterEra(2);
  t.is(fleet.operatorRevision, 0);
});

test('entries of a new era are taken at any revision', (t) => {
  const { fleet, lapses } = new Node();
  fleet.enterEra(2);
  lapses.beginUpdate();
  fleet.applyBackend(3, backend('stays', 'draining'));
  t.is(fleet.backend('stays')?.state, 'draining');
});

test('a backend that said it leaves goes on leaving though the copy lists it as ready', async (t) => {
  const node = new Node();
  node.returned(4, [backend('stays'), backend('leaves')]);
  t.true(node.fleet.isLeaving('leaves'));
  t.is(node.fleet.backend('leaves')?.state, 'draining');
  t.deepEqual(node.fleet.unlistedDepartures('s'), ['leaves'], 'others may not know');
  await node.clock.runUntil(2 * COPY_LAPSED_MS);
  t.true(node.fleet.isLeaving('leaves'), 'it never takes that back');
});

test('a backend that had left is given nothing though the copy lists it, and is gone when its entry lapses', async (t) => {
  const node = new Node();
  node.returned(4, [backend('stays'), backend('gone')]);
  t.true(node.fleet.isLeaving('gone'));
  await node.clock.runUntil(COPY_LAPSED_MS - 1);
  t.true(node.fleet.isLeaving('gone'));
  node.lapses.remove(5, 'gone');
  await node.clock.runUntil(COPY_LAPSED_MS + 1);
  t.is(node.fleet.backend('gone'), undefined);
  t.deepEqual(node.listedAgain, []);
});

test('a backend that had only lapsed and is still listed when all others have lapsed is used again', async (t) => {
  const node = new Node();
  node.returned(4, [backend('stays'), backend('gone')]);
  await node.clock.runUntil(COPY_LAPSED_MS + 1);
  t.false(node.fleet.isLeaving('gone'));
  t.is(node.fleet.backend('gone')?.state, 'ready');
  t.deepEqual(node.listedAgain, ['gone']);
});

test('a backend that the copy lacks has two seconds to write its entry again', async (t) => {
  const node = new Node();
  node.returned(4, []);
  await node.clock.runUntil(RETURN_MS - 1);
  t.is(node.fleet.backend('stays')?.state, 'ready');
  node.fleet.applyBackend(5, backend('stays'));
  await node.clock.runUntil(RETURN_MS + 1);
  t.is(node.fleet.backend('stays')?.state, 'ready');
  const other = new Node();
  other.returned(4, []);
  await other.clock.runUntil(RETURN_MS + 1);
  t.is(other.fleet.backend('stays'), undefined);
});

test('a node that begins to read long after the return takes a removal at once', async (t) => {
  const node = new Node();
  node.fleet.enterEra(2);
  await node.clock.runUntil(COPY_LAPSED_MS);
  node.lapses.beginUpdate();
  node.lapses.replace(4, []);
  t.is(node.fleet.backend('stays'), undefined);
});

test('a removal that was held in one era does not take effect in the next one', async (t) => {
  const node = new Node();
  node.returned(4, []);
  await node.clock.runUntil(RETURN_MS - 500);
  node.fleet.enterEra(3);
  node.lapses.beginUpdate();
  node.lapses.replace(2, [{ revision: 2, value: backend('stays') }]);
  await node.clock.runUntil(RETURN_MS + 1);
  t.is(node.fleet.backend('stays')?.state, 'ready');
});

test('what a peer holds of an earlier era is not taken, and a later era of a peer is entered', (t) => {
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
  t.true(fleet.backendsReach({ era: 1, revision: 99 }), 'what stands in an earlier era is older');
  t.false(fleet.backendsReach({ era: 3, revision: 1 }));
});

test('a peer that names no era is believed until a new one has begun', (t) => {
  const { fleet } = new Node();
  const backends = [{ revision: 12, value: backend('stays', 'draining') }];
  const own = new Node().fleet;
  own.applyListing({ revision: 12, backends });
  t.true(own.isLeaving('stays'));
  fleet.enterEra(2);
  fleet.applyListing({ revision: 12, backends });
  t.false(fleet.isLeaving('stays'));
  t.true(fleet.backendsReach({ revision: 12 }));
});

// Guards against the old list of a peer that has not heard yet of the first era that the store names.
test('a node of the first named era takes nothing from one that has read the store without any', (t) => {
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
  t.is(started.backendsRevision, 5, 'nor does one that started in it');
  ahead.applyListing({ ...behind.listing(), era: undefined });
  t.is(ahead.backendsRevision, 5, 'nor from a build that reads no era');
});

test('an era of a peer that is no whole number is not entered', (t) => {
  const { fleet } = new Node();
  for (const era of ['2', 2.5, NaN, null, Infinity] as unknown as readonly number[]) {
    fleet.applyListing({ era, revision: 12, backends: [] });
    t.is(fleet.era, 1);
    t.is(fleet.backend('stays')?.state, 'ready', String(era));
  }
});

test('nodes that know no era go by revisions alone', (t) => {
  const one = new FleetState();
  const other = new FleetState();
  one.applyBackend(5, backend('b'));
  other.applyListing(one.listing());
  t.is(other.backend('b')?.state, 'ready');
  t.true(other.backendsReach({ revision: 5 }));
  t.false(other.backendsReach({ revision: 6 }));
});
