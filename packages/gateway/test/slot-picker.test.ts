import { VirtualClock } from '@canvasridge/clock';
import { FleetState, type BackendDescription } from '@canvasridge/serving';
import type { SlotDecision, SlotRequest, UseOutcome } from '@canvasridge/slots';
import test from 'ava';
import { BackendAvailability } from '../src/backends/backend-availability.js';
import { BackendRateLimits } from '../src/backends/backend-rate-limits.js';
import { BackendBackoffs } from '../src/backends/backend-backoffs.js';
import type { PickContext } from '../src/backends/picker.js';
import { SlotPicker, type SlotSource } from '../src/backends/slot-picker.js';
import { noRateLimits } from './free-backends.js';

function engine(id: string, state: 'ready' | 'draining' = 'ready'): BackendDescription {
  return { id, service: 'llm', address: `${id}:1`, zone: 'a', state, slots: 8, models: [] };
}

/** A leader that has not heard yet that an engine leaves: it names the first that is not excluded. */
class LateLeader implements SlotSource {
  readonly released: { requestId: string; outcome: UseOutcome }[] = [];
  /** Runs while a request waits for its slot. */
  whileWaiting: () => Promise<void> = () => Promise.resolve();

  constructor(
    readonly engines: readonly string[],
    readonly entryRevision: number | undefined,
    /** Limit within which engines are granted: see {@link SlotDecision}. */
    readonly ratePerSecond?: number | null,
    readonly entryEra?: number,
  ) {}

  async acquire(_pool: string, request: SlotRequest): Promise<SlotDecision> {
    await this.whileWaiting();
    const backendId = this.engines.find((id) => !request.excluded.includes(id)) ?? 'none';
    const { entryRevision, entryEra } = this;
    const point = {
      ...(entryRevision === undefined ? {} : { entryRevision }),
      ...(entryEra === undefined ? {} : { entryEra }),
    };
    const told = backendId === 'leaving' ? point : {};
    const rate = this.ratePerSecond === undefined ? {} : { ratePerSecond: this.ratePerSecond };
    return { kind: 'granted', requestId: request.id, backendId, address: `${backendId}:1`, ...told, ...rate };
  }

  began(): void {
    return;
  }

  started(): void {
    return;
  }

  release(_pool: string, requestId: string, outcome: UseOutcome): void {
    this.released.push({ requestId, outcome });
  }
}

const CONTEXT: PickContext = {
  id: 'r1',
  traceId: 't1',
  route: {
    name: 'r',
    host: 'h',
    pathPrefix: '/',
    kind: 'stream',
    services: [],
    timeoutMs: 5000,
    patienceMs: 3000,
    objectiveMs: 800,
    priority: 0,
    attempts: 1,
    resumable: false,
    isPublic: false,
  },
  service: { name: 'llm', maxConnections: 10, engine: undefined },
  tenant: undefined,
  priority: 0,
  generation: { model: 'm', adapter: 'x', promptTokens: 10, promptKey: undefined },
  ageMs: 0,
  timeoutMs: 5000,
  startWithinMs: 3000,
  excluded: [],
};

function listBoth(fleet: FleetState): void {
  fleet.applyBackend(1, engine('leaving'));
  fleet.applyBackend(2, engine('stays'));
}

function availabilityOf(
  fleet: FleetState,
  clock: VirtualClock,
  backoffs: BackendBackoffs,
  rateLimits = noRateLimits(clock),
): BackendAvailability {
  return new BackendAvailability({ fleet, backoffs, rateLimits, clock, othersServe: () => true });
}

async function pickAfter(
  change: (fleet: FleetState) => void,
  entryRevision?: number,
  entryEra?: number,
): Promise<{ picked: string; leader: LateLeader }> {
  const fleet = new FleetState();
  change(fleet);
  const leader = new LateLeader(['leaving', 'stays'], entryRevision, undefined, entryEra);
  const clock = new VirtualClock();
  const backoffs = new BackendBackoffs(clock);
  const availability = availabilityOf(fleet, clock, backoffs);
  const picker = new SlotPicker(fleet, availability, leader, clock);
  const result = await picker.pick(CONTEXT, new AbortController().signal);
  return { picked: result.kind === 'picked' ? result.backend.id : result.reason, leader };
}

test('an engine that this node knows to leave is not used, though the leader still names it', async (t) => {
  const { picked, leader } = await pickAfter((fleet) => {
    listBoth(fleet);
    fleet.applyBackend(3, engine('leaving', 'draining'));
  });
  t.is(picked, 'stays');
  t.deepEqual(leader.released, [{ requestId: 'r1', outcome: 'refused' }]);
});

test('an engine that said so to this node is not asked for in the first place, however its entry stands', async (t) => {
  const { picked, leader } = await pickAfter((fleet) => {
    listBoth(fleet);
    fleet.noteAnnounced('leaving', 'answer');
  });
  t.is(picked, 'stays');
  t.deepEqual(leader.released, []);
});

test('nor is one that this node knows to be gone', async (t) => {
  const { picked } = await pickAfter((fleet) => {
    listBoth(fleet);
    fleet.removeBackend(3, 'leaving');
  });
  t.is(picked, 'stays');
});

/** The list of a node that never saw the engine `leaving`, complete up to revision 20. */
function neverSaw(fleet: FleetState): void {
  fleet.replaceBackends(20, [{ revision: 2, value: engine('stays') }]);
}

test('an engine that this node never listed, though its list is newer than the entry, is gone', async (t) => {
  const { picked, leader } = await pickAfter(neverSaw, 20);
  t.is(picked, 'stays');
  t.deepEqual(leader.released, [{ requestId: 'r1', outcome: 'refused' }]);
});

test('an engine whose entry is newer than the list of this node is used on the word of the leader', async (t) => {
  const { picked } = await pickAfter((fleet) => fleet.confirmBackends(20), 21);
  t.is(picked, 'leaving');
});

// Guards against grants by a leader that has not heard yet that the publishing store came back from a copy, and the reverse.
test('an engine whose entry is of an earlier era than the list of this node is gone, one of a later era is new', async (t) => {
  const inEra = (fleet: FleetState): void => {
    fleet.enterEra(2);
    neverSaw(fleet);
  };
  t.is((await pickAfter(inEra, 99, 1)).picked, 'stays');
  t.is((await pickAfter(inEra, 21, 2)).picked, 'leaving');
  t.is((await pickAfter(inEra, 1, 3)).picked, 'leaving');
  t.is((await pickAfter(inEra, 20)).picked, 'stays', 'a leader that names no era');
});

test('an engine that is not listed here yet is used on the word of the leader', async (t) => {
  const { picked } = await pickAfter((fleet) => fleet.applyBackend(2, engine('stays')));
  t.is(picked, 'leaving');
});

interface Shedding {
  readonly picker: SlotPicker;
  readonly leader: LateLeader;
  readonly clock: VirtualClock;
  readonly backoffs: BackendBackoffs;
}

/** Two engines that the leader grants, and what they asked this node for. */
function beforeShedding(): Shedding {
  const fleet = new FleetState();
  listBoth(fleet);
  const leader = new LateLeader(['leaving', 'stays'], undefined);
  const clock = new VirtualClock();
  const backoffs = new BackendBackoffs(clock);
  const availability = availabilityOf(fleet, clock, backoffs);
  return { picker: new SlotPicker(fleet, availability, leader, clock), leader, clock, backoffs };
}

const NEVER = new AbortController().signal;

test('an engine that wants nothing from this node is not asked for until its time has ended', async (t) => {
  const { picker, leader, clock, backoffs } = beforeShedding();
  backoffs.note('leaving', 1000);
  t.like(await picker.pick(CONTEXT, NEVER), { backend: { id: 'stays' } });
  t.deepEqual(leader.released, []);
  await clock.runUntil(1000);
  t.like(await picker.pick(CONTEXT, NEVER), { backend: { id: 'leaving' } });
});

test('a slot at an engine that asked for a time meanwhile is given back as unused, and another one asked for', async (t) => {
  const { picker, leader, backoffs, clock } = beforeShedding();
  let waits = 0;
  leader.whileWaiting = async () => {
    waits += 1;
    if (waits > 1) return;
    await clock.runUntil(50);
    backoffs.note('leaving', 1000);
  };
  t.like(await picker.pick(CONTEXT, NEVER), { backend: { id: 'stays' } });
  t.deepEqual(leader.released, [{ requestId: 'r1', outcome: 'cancelled' }]);
  t.is(waits, 2);
});

test('where all engines want nothing, a request is refused without asking, to be served by another node', async (t) => {
  const { picker, leader, backoffs } = beforeShedding();
  let asked = false;
  leader.whileWaiting = () => {
    asked = true;
    return Promise.resolve();
  };
  backoffs.note('leaving', 1000);
  backoffs.note('stays', 2000);
  t.deepEqual(await picker.pick(CONTEXT, NEVER), { kind: 'none', reason: 'backing-off', retryAfterMs: 20 });
  t.false(asked);
});

test('nor is one whose only other engine it has tried', async (t) => {
  const { picker, backoffs } = beforeShedding();
  backoffs.note('leaving', 1000);
  const context = { ...CONTEXT, excluded: ['stays'] };
  t.like(await picker.pick(context, NEVER), { kind: 'none', reason: 'backing-off' });
});

/** What becomes of an engine that named a limit to this node, of which no unit is left, as the leader grants it. */
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
  rateLimits.heard('leaving', 1.4, false);
  const backoffs = new BackendBackoffs(clock);
  const availability = availabilityOf(fleet, clock, backoffs, rateLimits);
  const leader = new LateLeader(['leaving', 'stays'], undefined, ratePerSecond);
  const result = await new SlotPicker(fleet, availability, leader, clock).pick(CONTEXT, NEVER);
  const picked = result.kind === 'picked' ? result.backend.id : result.reason;
  return { picked, isLimited: rateLimits.perSecond('leaving') !== undefined };
}

test('an engine that a leader grants without regard to its limit, as a build before does, needs a unit all the same', async (t) => {
  t.deepEqual(await pickLimited(undefined), { picked: 'stays', isLimited: true });
});

test('one that is granted within its limit needs none; a limit that the leader knows to have ended is forgotten', async (t) => {
  t.deepEqual(await pickLimited(1.4), { picked: 'leaving', isLimited: true });
  t.deepEqual(await pickLimited(null), { picked: 'leaving', isLimited: false });
});
