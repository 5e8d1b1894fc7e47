import { VirtualClock } from '@canvasridge/clock';
import { FleetState } from '@canvasridge/serving';
import test from 'ava';
import { BackendBackoffs } from '../src/backends/backend-backoffs.js';
import { BackendRateLimits } from '../src/backends/backend-rate-limits.js';
import type { SlotPicker } from '../src/backends/slot-picker.js';
import { CONTEXT, OutdatedLeader, availabilityOf, engine, newPicker } from './slot-picker-setup.js';

const NOT_CANCELLED = new AbortController().signal;

function listBoth(fleet: FleetState): void {
  fleet.applyBackend(1, engine('leaving'));
  fleet.applyBackend(2, engine('stays'));
}

async function pickWithFleet(
  change: (fleet: FleetState) => void,
  entryRevision?: number,
  entryEra?: number,
): Promise<{ picked: string; leader: OutdatedLeader }> {
  const fleet = new FleetState();
  change(fleet);
  const leader = new OutdatedLeader(['leaving', 'stays'], entryRevision, undefined, entryEra);
  const clock = new VirtualClock();
  const backoffs = new BackendBackoffs(clock);
  const availability = availabilityOf(fleet, clock, backoffs);
  const picker = newPicker(fleet, availability, leader, clock);
  const result = await picker.pick(CONTEXT, new AbortController().signal);
  return { picked: result.kind === 'picked' ? result.backend.id : result.reason, leader };
}

test('an engine that this node knows to be leaving is not used, although the leader still grants it', async (t) => {
  const { picked, leader } = await pickWithFleet((fleet) => {
    listBoth(fleet);
    fleet.applyBackend(3, engine('leaving', 'draining'));
  });
  t.is(picked, 'stays');
  t.deepEqual(leader.released, [{ requestId: 'r1', outcome: 'refused' }]);
});

test('an engine that announced its leaving to this node is excluded from the slot request, whatever its entry says', async (t) => {
  const { picked, leader } = await pickWithFleet((fleet) => {
    listBoth(fleet);
    fleet.recordAnnouncedShutdown('leaving', 'answer');
  });
  t.is(picked, 'stays');
  t.deepEqual(leader.released, []);
});

test('an engine that this node knows to be removed is not used', async (t) => {
  const { picked } = await pickWithFleet((fleet) => {
    listBoth(fleet);
    fleet.removeBackend(3, 'leaving');
  });
  t.is(picked, 'stays');
});

/**
 * Lists the backends as for a node that never saw the engine `leaving`; the list is complete up to revision
 * 20.
 */
function listWithoutLeaving(fleet: FleetState): void {
  fleet.replaceBackends(20, [{ revision: 2, value: engine('stays') }]);
}

test('an engine that this node never listed counts as removed if its list is newer than the entry', async (t) => {
  const { picked, leader } = await pickWithFleet(listWithoutLeaving, 20);
  t.is(picked, 'stays');
  t.deepEqual(leader.released, [{ requestId: 'r1', outcome: 'refused' }]);
});

test('an engine whose entry is newer than the list of this node is used as the leader grants it', async (t) => {
  const { picked } = await pickWithFleet((fleet) => fleet.advanceBackendsRevision(20), 21);
  t.is(picked, 'leaving');
});

// Guards against grants by a leader that does not know yet that the publishing store was restored from a
// copy, and against the reverse case.
test('an engine with an entry from an earlier era than the list of this node counts as removed, one from a later era as new', async (t) => {
  const inEra = (fleet: FleetState): void => {
    fleet.enterEra(2);
    listWithoutLeaving(fleet);
  };
  t.is((await pickWithFleet(inEra, 99, 1)).picked, 'stays');
  t.is((await pickWithFleet(inEra, 21, 2)).picked, 'leaving');
  t.is((await pickWithFleet(inEra, 1, 3)).picked, 'leaving');
  t.is((await pickWithFleet(inEra, 20)).picked, 'stays', 'a leader that sends no era');
});

// Without it the leader counted a search that was given up as a request that got no slot.
test('the leader is told that a request looks for another engine while its own is silent', async (t) => {
  const fleet = new FleetState();
  listBoth(fleet);
  const leader = new OutdatedLeader(['stays'], undefined);
  const clock = new VirtualClock();
  const availability = availabilityOf(fleet, clock, new BackendBackoffs(clock));
  const picker = newPicker(fleet, availability, leader, clock);
  await picker.pick({ ...CONTEXT, isTakeover: true }, new AbortController().signal);
  await picker.pick(CONTEXT, new AbortController().signal);
  t.deepEqual(
    leader.asked.map(({ isTakeover }) => isTakeover),
    [true, undefined],
  );
});

test('an engine that is not listed on this node yet is used as the leader grants it', async (t) => {
  const { picked } = await pickWithFleet((fleet) => fleet.applyBackend(2, engine('stays')));
  t.is(picked, 'leaving');
});

interface PickerSetup {
  readonly picker: SlotPicker;
  readonly leader: OutdatedLeader;
  readonly clock: VirtualClock;
  readonly backoffs: BackendBackoffs;
}

/** Sets up a picker with two engines that the leader grants, and no backoffs yet. */
function newPickerSetup(): PickerSetup {
  const fleet = new FleetState();
  listBoth(fleet);
  const leader = new OutdatedLeader(['leaving', 'stays'], undefined);
  const clock = new VirtualClock();
  const backoffs = new BackendBackoffs(clock);
  const availability = availabilityOf(fleet, clock, backoffs);
  return { picker: newPicker(fleet, availability, leader, clock), leader, clock, backoffs };
}

test('an engine that asked this node to back off is excluded from slot requests until that ends', async (t) => {
  const { picker, leader, clock, backoffs } = newPickerSetup();
  backoffs.record('leaving', 1000);
  t.like(await picker.pick(CONTEXT, NOT_CANCELLED), { backend: { id: 'stays' } });
  t.deepEqual(leader.released, []);
  await clock.runUntil(1000);
  t.like(await picker.pick(CONTEXT, NOT_CANCELLED), { backend: { id: 'leaving' } });
});

test('a slot of an engine that asked for a backoff in the meantime is released as unused, and another one is requested', async (t) => {
  const { picker, leader, backoffs, clock } = newPickerSetup();
  let waits = 0;
  leader.whileWaiting = async () => {
    waits += 1;
    if (waits > 1) return;
    await clock.runUntil(50);
    backoffs.record('leaving', 1000);
  };
  t.like(await picker.pick(CONTEXT, NOT_CANCELLED), { backend: { id: 'stays' } });
  t.deepEqual(leader.released, [{ requestId: 'r1', outcome: 'cancelled' }]);
  t.is(waits, 2);
});

test('if all engines are backing off, a request is refused without asking the leader, to be served by another node', async (t) => {
  const { picker, leader, backoffs } = newPickerSetup();
  let asked = false;
  leader.whileWaiting = () => {
    asked = true;
    return Promise.resolve();
  };
  backoffs.record('leaving', 1000);
  backoffs.record('stays', 2000);
  t.deepEqual(await picker.pick(CONTEXT, NOT_CANCELLED), {
    kind: 'none',
    reason: 'backing-off',
    retryAfterMs: 20,
  });
  t.false(asked);
});

test('a request is also refused if the only engine that is not backing off was already tried', async (t) => {
  const { picker, backoffs } = newPickerSetup();
  backoffs.record('leaving', 1000);
  const context = { ...CONTEXT, excluded: ['stays'] };
  t.like(await picker.pick(context, NOT_CANCELLED), { kind: 'none', reason: 'backing-off' });
});

/**
 * Picks while the engine `leaving` has a rate limit that this node knows and that is used up;
 * `ratePerSecond` is the limit that the leader names in its grant.
 */
async function pickLimited(
  ratePerSecond: number | null | undefined,
): Promise<{ picked: string; isLimited: boolean }> {
  const fleet = new FleetState();
  listBoth(fleet);
  const clock = new VirtualClock();
  const rateLimits = new BackendRateLimits({
    clock,
    admit: () => Promise.resolve({ kind: 'refused', retryAfterMs: 500 }),
  });
  rateLimits.recordNotice('leaving', 1.4, false);
  const backoffs = new BackendBackoffs(clock);
  const availability = availabilityOf(fleet, clock, backoffs, rateLimits);
  const leader = new OutdatedLeader(['leaving', 'stays'], undefined, ratePerSecond);
  const result = await newPicker(fleet, availability, leader, clock).pick(CONTEXT, NOT_CANCELLED);
  const picked = result.kind === 'picked' ? result.backend.id : result.reason;
  return { picked, isLimited: rateLimits.perSecond('leaving') !== undefined };
}

test('an engine granted without regard to its rate limit, as by an earlier build, still needs a unit', async (t) => {
  t.deepEqual(await pickLimited(undefined), { picked: 'stays', isLimited: true });
});

test('an engine granted within its rate limit needs no unit; a limit that the leader knows to have ended is dropped', async (t) => {
  t.deepEqual(await pickLimited(1.4), { picked: 'leaving', isLimited: true });
  t.deepEqual(await pickLimited(null), { picked: 'leaving', isLimited: false });
});

test('an engine of another software version is given back, and its leader is told all engines of other versions', async (t) => {
  const fleet = new FleetState();
  const versions = { leaving: 'v1', other: 'v1', stays: 'v2' };
  for (const [id, softwareVersion] of Object.entries(versions))
    fleet.applyBackend(1, { ...engine(id), softwareVersion });
  const leader = new OutdatedLeader(['leaving', 'other', 'stays'], undefined);
  const clock = new VirtualClock();
  const availability = availabilityOf(fleet, clock, new BackendBackoffs(clock));
  const picker = newPicker(fleet, availability, leader, clock);
  const result = await picker.pick({ ...CONTEXT, softwareVersion: 'v2' }, new AbortController().signal);
  t.like(result, { kind: 'picked', backend: { id: 'stays' } });
  t.deepEqual(leader.released, [{ requestId: 'r1', outcome: 'cancelled' }]);
});
