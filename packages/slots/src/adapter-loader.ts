import type { Clock } from '@canvasridge/clock';
import { adapterKey } from '@canvasridge/serving';
import type { Telemetry } from '@canvasridge/telemetry';
import type { EngineEntry } from './engine-entry.js';
import type { AdapterSlot, EngineSlots } from './engine-slots.js';
import { FetchWindow } from './fetch-window.js';
import type { HostMemory } from './host-memory.js';
import type { LoadPlacement } from './load-placement.js';
import { LoadProgress } from './load-progress.js';
import type { LoadTime, LoadUse } from './load-time.js';
import { LoadTimeBounds } from './load-time-bounds.js';
import { LoadTimeEstimate } from './load-time-estimate.js';
import type { DisabledMechanisms } from './mechanisms.js';
import { PilotLoad } from './pilot-load.js';
import type { SlotTiming } from './timing.js';

export interface AdapterLoaderOptions {
  readonly clock: Clock;
  readonly timing: SlotTiming;
  readonly memory: HostMemory;
  /** The published version of an adapter, 0 if none was published. */
  readonly adapterVersion: (model: string, adapter: string) => number;
  /** Calls back after a delay, unless the pool is closed by then. */
  readonly after: (delayMs: number, action: () => void) => void;
  /** Called when slots changed, so that waiting requests may be served now. */
  readonly onChange: () => void;
  /** Number of adapters that engines are fetching from the weight store. */
  readonly fetchesInProgress: () => number;
  readonly telemetry: Telemetry;
  readonly disabled: DisabledMechanisms;
}

/** How soon an adapter that was not loaded in time is tried again. */
const RETRY_PRESENCE_MS = 50;
/** The same where the next try is placed by what is known of load times. */
const MIN_RETRY_MS = 20;
/** A load that took less than this fraction of a fetch was from host memory. */
const QUICK_SHARE = 0.5;
/** After this many loads in a row that seemed fetched against belief, loads from host memory may be slower than estimated. */
const SLOW_AFTER_FETCHED = 4;
/** An adapter that a report shows as loading is assumed loaded after this time. */
const ADOPTED_ARRIVAL_MS = 150;
/** An adapter that is missing this long after its load was ordered has been lost by the engine. */
const LOST_ADAPTER_MS = 2500;

/**
 * Loads adapters into slots and evicts others. Engines do not announce when a load is done, so its end is estimated, and
 * the estimate is corrected when a request finds its adapter missing.
 */
export class AdapterLoader {
  readonly #options: AdapterLoaderOptions;
  readonly #coldEstimate: LoadTime;
  readonly #warmEstimate: LoadTime;
  readonly #fetchWindow: FetchWindow;
  readonly #usesBounds: boolean;
  readonly #pilot: PilotLoad;
  /** Loads that engines accepted from this node. Empty if the time of loads is not learnt from bounds. */
  readonly #progress = new WeakMap<AdapterSlot, LoadProgress>();
  /** When each loading adapter is next considered loaded. An earlier timer of the same adapter does nothing. */
  readonly #dueMs = new WeakMap<AdapterSlot, number>();
  /** Number of loads since the last quick one that were believed to be from host memory and seemed fetched. */
  #fetchedInRow = 0;
  /** When the last request that ran on each adapter was sent. An earlier one that misses says nothing about now. */
  readonly #ranSentMs = new WeakMap<AdapterSlot, number>();

  constructor(options: AdapterLoaderOptions) {
    this.#options = options;
    const { clock, timing } = options;
    this.#pilot = new PilotLoad(clock);
    this.#usesBounds = !options.disabled.has('load-time-bounds');
    const Estimate = this.#usesBounds ? LoadTimeBounds : LoadTimeEstimate;
    this.#coldEstimate = new Estimate(clock, timing.coldLoadMs);
    this.#warmEstimate = new Estimate(clock, timing.warmLoadMs);
    this.#fetchWindow = new FetchWindow(options.clock, options.timing.coldLoadMs);
  }

  /** Current estimate of how long a fetch from the weight store takes, in milliseconds. */
  get coldLoadMs(): number {
    return this.#coldEstimate.estimateMs;
  }

  /** Current estimate of how long a load from the engine's host memory takes, in milliseconds. */
  get warmLoadMs(): number {
    return this.#warmEstimate.estimateMs;
  }

  /** Sets the number of listed engines. */
  setEngineCount(count: number): void {
    this.#fetchWindow.setEngineCount(count);
  }

  /** Maximum number of concurrent fetches from the weight store. */
  get fetchWindow(): number {
    return this.#fetchWindow.size;
  }

  /** Loads an adapter, after evicting another one if necessary. Its slot is reserved before the first order is sent. */
  async load(entry: EngineEntry, placement: LoadPlacement, model: string, adapter: string): Promise<void> {
    try {
      await this.#load(entry, placement, model, adapter);
    } catch (cause) {
      // Whether the engine got the order is not known; its next report shows what it holds.
      entry.lease.settle();
      throw cause;
    }
  }

  async #load(entry: EngineEntry, placement: LoadPlacement, model: string, adapter: string): Promise<void> {
    const { slots, lease } = entry;
    const { victim, warm } = placement;
    const { clock, memory, adapterVersion } = this.#options;
    if (victim !== undefined) victim.state = 'unloading';
    const isNewVersion = victim !== undefined && victim.model === model && victim.adapter === adapter;
    // Nothing is known about whether engines keep old versions.
    const memoryDepth = isNewVersion
      ? undefined
      : memory.depthOf(slots.backend.id, adapterKey(model, adapter));
    if (warm && memoryDepth !== undefined) memory.recordTried(memoryDepth);
    const reserved = isNewVersion ? undefined : slots.reserve(model, adapter, 0, warm, clock.now());
    if (victim !== undefined && !(await this.#unload(entry, victim))) {
      if (reserved !== undefined) slots.removeIfSame(reserved);
      return;
    }
    const slot = reserved ?? slots.reserve(model, adapter, 0, warm, clock.now());
    // A report read in the meantime may have changed the engine's slots.
    if (slots.get(slot.key) !== slot || !slots.isWithinLimits()) {
      slots.removeIfSame(slot);
      this.#options.onChange();
      return;
    }
    slot.version = adapterVersion(model, adapter);
    slot.orderedMs = clock.now();
    const reply = await lease.order({ action: 'load', model, adapter });
    if (reply.kind === 'accepted' || reply.kind === 'done') {
      this.#awaitAccepted(entry, slot, reply.kind === 'done', memoryDepth);
      memory.record(slots.backend.id, slot.key);
    } else if (reply.kind !== 'unknown') {
      slots.removeIfSame(slot);
      this.#options.onChange();
    }
  }

  /** Waits until the adapter of an accepted load is likely loaded. */
  #awaitAccepted(
    entry: EngineEntry,
    slot: AdapterSlot,
    isDone: boolean,
    memoryDepth: number | undefined,
  ): void {
    const nowMs = this.#options.clock.now();
    const loadTime = this.#estimateOf(slot);
    if (!this.#usesBounds) {
      const leftMs = isDone ? 0 : slot.orderedMs + loadTime.estimateMs - nowMs;
      this.#options.after(Math.max(leftMs, 0), () => this.#markLoaded(slot));
      return;
    }
    if (isDone) {
      this.#markLoadedAt(slot, nowMs);
      return;
    }
    const isPilot = !slot.warm && !loadTime.isKnown && this.#pilot.claim(slot);
    const firstTryMs = loadTime.firstTryMs() - (isPilot ? this.#pilot.leadMs : 0);
    const isTrial = firstTryMs < loadTime.estimateMs;
    const { warm, key } = slot;
    const start = { engineId: entry.slots.backend.id, key, acceptedMs: nowMs, warm, memoryDepth };
    this.#progress.set(slot, new LoadProgress(start, isTrial));
    this.#markLoadedAt(slot, nowMs + firstTryMs);
  }

  #estimateOf(slot: AdapterSlot): LoadTime {
    return slot.warm ? this.#warmEstimate : this.#coldEstimate;
  }

  /** Unloads an adapter. Returns whether it was unloaded. */
  async #unload(entry: EngineEntry, victim: AdapterSlot): Promise<boolean> {
    const { slots, lease } = entry;
    const reply = await lease.order({ action: 'unload', model: victim.model, adapter: victim.adapter });
    if (reply.kind === 'done') {
      slots.removeIfSame(victim);
      return true;
    }
    if (reply.kind === 'not-held') victim.state = 'loaded';
    // It is still in use or its state is unknown, so it occupies its slot until a report shows otherwise.
    else lease.settle();
    return false;
  }

  /**
   * Called when a request ran on the adapter, which shows that it was loaded in time.
   * @param sentMs when the request was sent
   */
  recordServed(slot: AdapterSlot, sentMs: number): void {
    slot.confirmed = true;
    this.#ranSentMs.set(slot, Math.max(this.#ranSentMs.get(slot) ?? -Infinity, sentMs));
    if (this.#usesBounds) this.#markLoaded(slot);
    if (slot.orderedMs === 0) return;
    const progress = this.#progress.get(slot);
    this.#progress.delete(slot);
    const isAfterAcceptance = progress !== undefined && sentMs > progress.acceptedMs;
    if (this.#usesBounds && !isAfterAcceptance) {
      slot.orderedMs = 0;
      return;
    }
    const use = progress?.useAt(sentMs) ?? useSinceOrder(slot, sentMs);
    if (!slot.warm) this.#fetchWindow.recordArrival(use.ageMs, this.#options.fetchesInProgress());
    if (slot.warm && this.#isQuick(use.ageMs)) {
      this.#fetchedInRow = 0;
      this.#recordInMemory(progress, true);
    }
    if (slot.warm && progress !== undefined && progress.misses > 0) {
      // The second try was served, so it was a load from host memory that took longer than estimated.
      this.#warmEstimate.recordTooEarly({ ...use, ageMs: progress.missedAgeMs });
    }
    this.#estimateOf(slot).recordInTime(use);
    slot.orderedMs = 0;
  }

  /**
   * Called when a request found its adapter missing: either it is not loaded yet, or the engine lost it.
   * @param sentMs when the request was sent
   */
  handleMissing(entry: EngineEntry, slot: AdapterSlot, sentMs: number): void {
    const nowMs = this.#options.clock.now();
    if (entry.slots.get(slot.key) !== slot || slot.state !== 'loaded') return;
    if (sentMs < (this.#ranSentMs.get(slot) ?? -Infinity)) return;
    const progress = this.#progress.get(slot);
    // Requests that were sent together fail together, also if one of them reports that late.
    if (progress !== undefined && sentMs < progress.markedMs) return;
    const startedMs = progress?.acceptedMs ?? slot.orderedMs;
    const isRecent = slot.orderedMs > 0 && nowMs - startedMs < LOST_ADAPTER_MS;
    if (!isRecent) {
      this.#logMissing(entry, slot, progress, 'lost');
      slot.state = 'unloading';
      entry.lease.settle();
      return;
    }
    slot.state = 'loading';
    if (progress !== undefined) this.#awaitLate(entry, slot, progress, sentMs);
    else this.#awaitUnknown(entry, slot);
  }

  /** Waits for an adapter whose accepted load takes longer than estimated. */
  #awaitLate(entry: EngineEntry, slot: AdapterSlot, progress: LoadProgress, sentMs: number): void {
    const nowMs = this.#options.clock.now();
    const use = progress.useAt(sentMs);
    progress.recordMiss(use.ageMs);
    this.#pilot.recordMiss(slot);
    let nextAgeMs = progress.nextTryAgeMs;
    let outcome = 'late-alone';
    if (slot.warm && progress.misses > 1 && !this.#mayBeSlow(nextAgeMs)) {
      this.#fetchedInRow += 1;
      // It was not in the engine's host memory after all and is being fetched from the weight store.
      slot.warm = false;
      this.#recordInMemory(progress, false);
      outcome = 'fetched';
    } else if (slot.warm) outcome = 'late-or-fetched';
    else {
      this.#fetchWindow.recordMissing(progress.load, use.ageMs, this.#options.fetchesInProgress());
      if (this.#coldEstimate.recordTooEarly(use)) outcome = 'too-early';
    }
    if (!slot.warm) nextAgeMs = Math.max(nextAgeMs, this.#coldEstimate.estimateMs);
    this.#logMissing(entry, slot, progress, outcome);
    this.#markLoadedAt(slot, Math.max(progress.acceptedMs + nextAgeMs, nowMs + MIN_RETRY_MS));
  }

  #isQuick(ageMs: number): boolean {
    return ageMs < this.coldLoadMs * QUICK_SHARE;
  }

  /** Whether a load that is tried next at this age may be from host memory although it was missing twice. */
  #mayBeSlow(nextAgeMs: number): boolean {
    return this.#fetchedInRow >= SLOW_AFTER_FETCHED && this.#isQuick(nextAgeMs);
  }

  /** Records whether the adapter of a load that was believed to be from host memory was there. */
  #recordInMemory(progress: LoadProgress | undefined, warm: boolean): void {
    if (progress?.memoryDepth === undefined) return;
    this.#options.memory.recordOutcome(progress.memoryDepth, warm);
  }

  /** Waits for an adapter of which it is not known when its load began. */
  #awaitUnknown(entry: EngineEntry, slot: AdapterSlot): void {
    const nowMs = this.#options.clock.now();
    const leftMs = slot.orderedMs + this.#coldEstimate.estimateMs - nowMs;
    if (this.#usesBounds) {
      this.#logMissing(entry, slot, undefined, 'order-unanswered');
      slot.warm = false;
      this.#markLoadedAt(slot, nowMs + Math.max(leftMs, RETRY_PRESENCE_MS));
      return;
    }
    if (slot.warm) {
      // It was not in the engine's host memory after all and is being fetched from the weight store.
      slot.warm = false;
      this.#options.after(Math.max(leftMs, RETRY_PRESENCE_MS), () => this.#markLoaded(slot));
      return;
    }
    const use = { ...useSinceOrder(slot, nowMs), load: `${entry.slots.backend.id}/${slot.key}` };
    this.#coldEstimate.recordTooEarly(use);
    this.#fetchWindow.recordMissing(use.load, use.ageMs, this.#options.fetchesInProgress());
    this.#options.after(RETRY_PRESENCE_MS, () => this.#markLoaded(slot));
  }

  /**
   * After a report, marks its loading adapters as loaded after a delay: their loads may have been ordered by another node,
   * so that nothing else would mark them.
   */
  awaitPending(slots: EngineSlots): void {
    const nowMs = this.#options.clock.now();
    for (const slot of slots.slots.values()) {
      if (slot.state !== 'loading') continue;
      if (!this.#usesBounds) this.#options.after(ADOPTED_ARRIVAL_MS, () => this.#markLoaded(slot));
      // The report may be older than the time at which a load of this node was due.
      else if (this.#progress.has(slot))
        this.#markLoadedAt(slot, Math.max(this.#dueMs.get(slot) ?? 0, nowMs));
      else this.#markLoadedAt(slot, nowMs + ADOPTED_ARRIVAL_MS);
    }
  }

  /** Marks the adapter as loaded at a time, or later if by then loads are found to take longer. */
  #markLoadedAt(slot: AdapterSlot, dueMs: number): void {
    const { clock, after } = this.#options;
    this.#dueMs.set(slot, dueMs);
    this.#pilot.recordNextTry(slot, dueMs);
    after(Math.max(dueMs - clock.now(), 0), () => {
      if (this.#dueMs.get(slot) !== dueMs || slot.state !== 'loading') return;
      const progress = this.#progress.get(slot);
      const isFirstTry = progress !== undefined && progress.misses === 0 && !progress.isTrial;
      const neededMs = isFirstTry ? this.#firstTryAtMs(slot, progress) : 0;
      if (neededMs > clock.now() + 1) {
        this.#markLoadedAt(slot, neededMs);
        return;
      }
      if (progress !== undefined) progress.markedMs = clock.now();
      this.#markLoaded(slot);
    });
  }

  /** When an adapter of an accepted load should be tried first, by what is known now. */
  #firstTryAtMs(slot: AdapterSlot, { acceptedMs }: LoadProgress): number {
    const { estimateMs, isKnown } = this.#estimateOf(slot);
    const waitsForPilot = !slot.warm && !isKnown;
    return Math.max(acceptedMs + estimateMs, waitsForPilot ? this.#pilot.othersWaitUntilMs : 0);
  }

  #markLoaded(slot: AdapterSlot): void {
    if (slot.state !== 'loading') return;
    slot.state = 'loaded';
    this.#options.onChange();
  }

  /** Logs what was concluded from a request that found its adapter missing. */
  #logMissing(
    entry: EngineEntry,
    slot: AdapterSlot,
    progress: LoadProgress | undefined,
    outcome: string,
  ): void {
    this.#options.telemetry.event('info', 'adapter.missing', entry.slots.backend.id, {
      adapter: slot.adapter,
      outcome,
      ageMs: Math.round(progress?.missedAgeMs ?? 0),
      misses: progress?.misses ?? 0,
      warm: progress?.believedWarm ?? false,
      coldLoadMs: Math.round(this.coldLoadMs),
      warmLoadMs: Math.round(this.warmLoadMs),
    });
  }
}

/** A use of an adapter by a request sent at this time, with its age counted from the sending of the order. */
function useSinceOrder(slot: AdapterSlot, sentMs: number): LoadUse {
  return { load: slot.key, acceptedMs: slot.orderedMs, ageMs: sentMs - slot.orderedMs };
}
