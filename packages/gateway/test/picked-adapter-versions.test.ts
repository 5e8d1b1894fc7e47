/** Which versions of an adapter the picker for engines chooses while no leader answers. */
import { VirtualClock } from '@canvasridge/clock';
import { FleetState } from '@canvasridge/serving';
import type { SlotDecision, SlotRequest } from '@canvasridge/slots';
import test from 'ava';
import { BackendBackoffs } from '../src/backends/backend-backoffs.js';
import type { SlotPicker } from '../src/backends/slot-picker.js';
import {
  CONTEXT,
  OutdatedLeader,
  VERSION_BOUND_MS,
  availabilityOf,
  engine,
  newPicker,
} from './slot-picker-setup.js';

const NOT_CANCELLED = new AbortController().signal;

/** A leader that can be lost (then it makes no decisions), and that grants engines with a version of their adapter, if it tells any. */
class LostLeader extends OutdatedLeader {
  isLost = false;
  adapterVersion: number | undefined;

  override async acquire(pool: string, request: SlotRequest): Promise<SlotDecision> {
    if (this.isLost) return undefined as unknown as SlotDecision;
    const decision = await super.acquire(pool, request);
    const { adapterVersion } = this;
    return adapterVersion === undefined || decision.kind !== 'granted'
      ? decision
      : { ...decision, adapterVersion };
  }
}

interface VersionSetup {
  readonly picker: SlotPicker;
  readonly leader: LostLeader;
  readonly clock: VirtualClock;
  readonly fleet: FleetState;
}

/** Sets up a picker that was granted the first of two engines with version 1 of an adapter, before version 2 was published. */
async function servedBefore(adapterVersion: number | undefined): Promise<VersionSetup> {
  const fleet = new FleetState();
  const leader = new LostLeader(['leaving', 'stays'], undefined);
  leader.adapterVersion = adapterVersion;
  const clock = new VirtualClock();
  fleet.applyBackend(1, engine('leaving'));
  fleet.applyBackend(1, engine('stays'));
  const availability = availabilityOf(fleet, clock, new BackendBackoffs(clock));
  const picker = newPicker(fleet, availability, leader, clock);
  const picked = await picker.pick(CONTEXT, NOT_CANCELLED);
  fleet.applyAdapterVersion({ model: 'm', adapter: 'x', version: 2 }, 'change');
  await clock.runUntil(VERSION_BOUND_MS);
  if (picked.kind === 'picked') picked.finish('served');
  leader.isLost = true;
  return { picker, leader, clock, fleet };
}

function listWithAdapter(fleet: FleetState, id: string, version: number): void {
  const models = [{ name: 'm', adapters: [{ name: 'x', version }] }];
  fleet.applyBackend(5, { ...engine(id), models });
}

for (const adapterVersion of [1, undefined]) {
  const told = adapterVersion === undefined ? 'a version unknown to its leader' : 'an old version';
  // Guards against requests on an old version of their adapter while no leader answers.
  test(`without a leader, an engine that served ${told} of the adapter just now is not used`, async (t) => {
    const { picker } = await servedBefore(adapterVersion);
    t.like(await picker.pick(CONTEXT, NOT_CANCELLED), { kind: 'none', reason: 'no-pool-leader' });
  });
}

test('without a leader, an engine listed with the published version is used instead of the one that served', async (t) => {
  const { picker, fleet } = await servedBefore(1);
  listWithAdapter(fleet, 'stays', 2);
  t.like(await picker.pick(CONTEXT, NOT_CANCELLED), { backend: { id: 'stays' }, adapterVersion: 2 });
});

test('without a leader, an engine that served the published version just now is used', async (t) => {
  const { picker } = await servedBefore(2);
  t.like(await picker.pick(CONTEXT, NOT_CANCELLED), { backend: { id: 'leaving' }, adapterVersion: 2 });
});

test('without a leader, an engine with the published version comes first while the old one may still serve', async (t) => {
  const { picker, fleet } = await servedBefore(2);
  fleet.applyAdapterVersion({ model: 'm', adapter: 'x', version: 3 }, 'change');
  t.like(await picker.pick(CONTEXT, NOT_CANCELLED), { backend: { id: 'leaving' }, adapterVersion: 2 });
  listWithAdapter(fleet, 'stays', 3);
  t.like(await picker.pick(CONTEXT, NOT_CANCELLED), { backend: { id: 'stays' }, adapterVersion: 3 });
});
