import { VirtualClock } from '@canvasridge/clock';
import { RejectionGuard } from '../src/rejection-guard.js';
import { adapterKey } from '@canvasridge/serving';
import { Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import { AdapterLoader } from '../src/adapter-loader.js';
import { AdapterMemory } from '../src/adapter-memory.js';
import type { EngineEntry } from '../src/engine-entry.js';
import { EngineRate } from '../src/engine-rate.js';
import { HostMemory } from '../src/host-memory.js';
import { EngineSlots, type AdapterSlot } from '../src/engine-slots.js';
import type { Mechanism } from '../src/mechanisms.js';
import type { OrderLease } from '../src/order-lease.js';
import { DEFAULT_SLOT_TIMING } from '../src/timing.js';
import { ALWAYS_ANSWERING, LEASE_MS, MODEL, PROFILE, SimulatedEngine } from './simulated-engines.js';

/** A loader whose orders are all accepted after the given time, and one engine. */
function newLoader(
  clock: VirtualClock,
  disabled: readonly Mechanism[] = [],
  fetchesInProgress = 1,
  answerMs = 4,
): { loader: AdapterLoader; entry: EngineEntry } {
  const loader = new AdapterLoader({
    clock,
    timing: { ...DEFAULT_SLOT_TIMING, leaseMs: LEASE_MS },
    memory: new HostMemory({
      clock,
      memory: new AdapterMemory(),
      telemetry: new Telemetry({ processName: 'test', clock }),
      service: 'llm',
      learns: false,
    }),
    adapterVersion: () => 1,
    after: (delayMs, action) => void clock.setTimer(delayMs, action),
    onChange: () => undefined,
    fetchesInProgress: () => fetchesInProgress,
    telemetry: new Telemetry({ processName: 'test', clock }),
    disabled: new Set(disabled),
  });
  const lease = {
    order: async () => {
      await clock.sleep(answerMs);
      return { kind: 'accepted' };
    },
    settle: () => undefined,
  };
  const slots = new EngineSlots(new SimulatedEngine(clock, 'e1').description, PROFILE);
  const rate = new EngineRate(clock);
  return {
    loader,
    entry: {
      slots,
      lease: lease as unknown as OrderLease,
      rate,
      answerCheck: ALWAYS_ANSWERING,
      rejections: new RejectionGuard(),
      unlistedSinceMs: undefined,
    },
  };
}

/** Loads an adapter and returns its slot, with the time at which it was marked as loaded. */
async function loadUntilMarked(
  clock: VirtualClock,
  loader: AdapterLoader,
  entry: EngineEntry,
  adapter: string,
): Promise<AdapterSlot> {
  await clock.runUntil(clock.now() + 1);
  void loader.load(entry, { slots: entry.slots, victim: undefined, warm: false }, MODEL, adapter);
  const slot = entry.slots.get(adapterKey(MODEL, adapter));
  if (slot === undefined) throw new Error('no slot was reserved');
  await runUntilMarked(clock, slot);
  return slot;
}

async function runUntilMarked(clock: VirtualClock, slot: AdapterSlot): Promise<void> {
  while (slot.state !== 'loaded') await clock.runUntil(clock.now() + 1);
}

// Requests of a group whose misses were reported late made the adapter count as loading again, although it had arrived.
test('a late report of a request sent before the last try is ignored', async (t) => {
  const clock = new VirtualClock();
  const { loader, entry } = newLoader(clock);
  const slot = await loadUntilMarked(clock, loader, entry, 'a');
  const sentMs = clock.now();
  await clock.runUntil(sentMs + 5);
  loader.handleMissing(entry, slot, sentMs);
  t.is(slot.state, 'loading');
  await runUntilMarked(clock, slot);
  loader.handleMissing(entry, slot, sentMs);
  t.is(slot.state, 'loaded');
});

// One request of a group missed, another one that was sent with it ran: its use was dated to time 0, which made loads seem to
// take less than no time, so that all later ones were tried at once and the window of fetches stayed at its minimum.
test('a request that runs after one sent with it found the adapter missing counts from when it was sent', async (t) => {
  const clock = new VirtualClock();
  const { loader, entry } = newLoader(clock, [], 12);
  await clock.runUntil(60_000);
  const slot = await loadUntilMarked(clock, loader, entry, 'a');
  const sentMs = clock.now();
  await clock.runUntil(sentMs + 5);
  loader.handleMissing(entry, slot, sentMs);
  await clock.runUntil(sentMs + 30);
  loader.recordServed(slot, sentMs);
  t.true(loader.coldLoadMs > 200, `estimate ${loader.coldLoadMs} ms`);
  const window = loader.fetchWindow;
  for (const adapter of ['b', 'c', 'd']) {
    const startedMs = clock.now();
    const later = await loadUntilMarked(clock, loader, entry, adapter);
    t.true(clock.now() - startedMs > 200, `tried after ${clock.now() - startedMs} ms`);
    loader.recordServed(later, clock.now());
    entry.slots.removeIfSame(later);
  }
  t.true(loader.fetchWindow > window, `window ${loader.fetchWindow}, before ${window}`);
});

// After a miss of its group, an adapter that a request ran on was still held back until the time of the next try.
test('an adapter counts as loaded once a request ran on it', async (t) => {
  const clock = new VirtualClock();
  const { loader, entry } = newLoader(clock);
  const slot = await loadUntilMarked(clock, loader, entry, 'a');
  const sentMs = clock.now();
  await clock.runUntil(sentMs + 5);
  loader.handleMissing(entry, slot, sentMs);
  loader.recordServed(slot, sentMs + 1);
  t.is(slot.state, 'loaded');
});

// The late report of a miss made an adapter count as lost that had been used since, and held back orders to its engine.
test('a miss of a request sent before one that ran on the adapter is ignored', async (t) => {
  const clock = new VirtualClock();
  const { loader, entry } = newLoader(clock);
  const slot = await loadUntilMarked(clock, loader, entry, 'a');
  const sentMs = clock.now();
  await clock.runUntil(sentMs + 60);
  loader.recordServed(slot, sentMs + 1);
  loader.handleMissing(entry, slot, sentMs);
  t.is(slot.state, 'loaded');
  await clock.runUntil(sentMs + 100);
  loader.handleMissing(entry, slot, sentMs + 80);
  t.is(slot.state, 'unloading');
});

// The answer to an order came later than a report of its load and a request that ran on it, so that its age was negative.
test('a request sent before the order of its load was answered says nothing about the time of loads', async (t) => {
  const clock = new VirtualClock();
  const { loader, entry } = newLoader(clock, [], 1, 400);
  await clock.runUntil(1000);
  void loader.load(entry, { slots: entry.slots, victim: undefined, warm: false }, MODEL, 'a');
  await clock.runUntil(1010);
  loader.awaitPending(entry.slots);
  const slot = entry.slots.get(adapterKey(MODEL, 'a'));
  if (slot === undefined) return t.fail('no slot was reserved');
  await runUntilMarked(clock, slot);
  const sentMs = clock.now();
  await clock.runUntil(1410);
  const before = loader.coldLoadMs;
  loader.recordServed(slot, sentMs);
  t.is(loader.coldLoadMs, before);
});

// A report marked all loading adapters as loaded after a fixed time, also those whose load had just been accepted.
test('a report does not make a load of this node count as done early', async (t) => {
  const clock = new VirtualClock();
  const { loader, entry } = newLoader(clock);
  await clock.runUntil(1);
  void loader.load(entry, { slots: entry.slots, victim: undefined, warm: false }, MODEL, 'a');
  await clock.runUntil(20);
  loader.awaitPending(entry.slots);
  await clock.runUntil(250);
  t.is(entry.slots.get(adapterKey(MODEL, 'a'))?.state, 'loading');
  await clock.runUntil(400);
  t.is(entry.slots.get(adapterKey(MODEL, 'a'))?.state, 'loaded');
});

test('an adapter that a report shows as loading without an order of this node is tried soon', async (t) => {
  const clock = new VirtualClock();
  const { loader, entry } = newLoader(clock);
  await clock.runUntil(1000);
  const slot = entry.slots.reserve(MODEL, 'a', 1, true, clock.now());
  loader.awaitPending(entry.slots);
  await clock.runUntil(1200);
  t.is(slot.state, 'loaded');
  const before = loader.coldLoadMs;
  loader.handleMissing(entry, slot, 1150);
  t.is(slot.state, 'loading');
  t.is(loader.coldLoadMs, before, 'it is not known when the load began');
});

test('an adapter believed in host memory that is missing twice counts as fetched', async (t) => {
  const clock = new VirtualClock();
  const { loader, entry } = newLoader(clock);
  await clock.runUntil(1);
  void loader.load(entry, { slots: entry.slots, victim: undefined, warm: true }, MODEL, 'a');
  const slot = entry.slots.get(adapterKey(MODEL, 'a'));
  if (slot === undefined) return t.fail('no slot was reserved');
  const triedMs: number[] = [];
  for (let miss = 0; miss < 3; miss += 1) {
    await runUntilMarked(clock, slot);
    triedMs.push(clock.now());
    await clock.runUntil(clock.now() + 5);
    if (miss < 2) loader.handleMissing(entry, slot, triedMs.at(-1) ?? 0);
  }
  t.false(slot.warm);
  t.true((triedMs[1] ?? Infinity) < 120, `tried at ${triedMs.join(' ')}`);
  t.true((triedMs[2] ?? 0) > 300, `tried at ${triedMs.join(' ')}`);
});

test('an adapter that disappears after it was used is looked up in a report', async (t) => {
  const clock = new VirtualClock();
  const { loader, entry } = newLoader(clock);
  const slot = await loadUntilMarked(clock, loader, entry, 'a');
  loader.recordServed(slot, clock.now());
  const before = loader.coldLoadMs;
  loader.handleMissing(entry, slot, clock.now());
  t.is(slot.state, 'unloading');
  t.is(loader.coldLoadMs, before);
});

test('with the mechanism disabled, a load is tried at the initial estimate and a miss raises it by a factor', async (t) => {
  const clock = new VirtualClock();
  const { loader, entry } = newLoader(clock, ['load-time-bounds']);
  const { coldLoadMs } = DEFAULT_SLOT_TIMING;
  t.is(loader.coldLoadMs, coldLoadMs);
  const slot = await loadUntilMarked(clock, loader, entry, 'a');
  t.true(clock.now() <= coldLoadMs + 2);
  loader.handleMissing(entry, slot, clock.now());
  t.true(loader.coldLoadMs > coldLoadMs && loader.coldLoadMs < coldLoadMs * 1.1);
});
