import type { Clock } from '@canvasridge/clock';
import type { AdapterMemory } from './adapter-memory.js';
import type { EngineEntry } from './engine-entry.js';
import type { AdapterSlot, EngineSlots } from './engine-slots.js';
import { FetchWindow } from './fetch-window.js';
import type { LoadPlacement } from './load-placement.js';
import { LoadTimeEstimate } from './load-time-estimate.js';
import type { SlotTiming } from './timing.js';

export interface AdapterLoaderOptions {
  readonly clock: Clock;
  readonly timing: SlotTiming;
  readonly memory: AdapterMemory;
  /** The published version of an adapter, 0 if none was published. */
  readonly adapterVersion: (model: string, adapter: string) => number;
  /** Calls back after a delay, unless the pool is closed by then. */
  readonly after: (delayMs: number, action: () => void) => void;
  /** Called when slots changed, so that waiting requests may be served now. */
  readonly onChange: () => void;
  /** Number of adapters that engines are fetching from the weight store. */
  readonly fetchesInProgress: () => number;
}

/** Only a first use within this multiple of the estimated load time tells whether the estimate was long enough. */
const EARLY_USE_FACTOR = 1.2;
/** How soon an adapter that was not loaded in time is tried again. */
const RETRY_PRESENCE_MS = 50;
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
  readonly #coldEstimate: LoadTimeEstimate;
  readonly #warmEstimate: LoadTimeEstimate;
  readonly #fetchWindow: FetchWindow;

  constructor(options: AdapterLoaderOptions) {
    this.#options = options;
    this.#coldEstimate = new LoadTimeEstimate(options.clock, options.timing.coldLoadMs);
    this.#warmEstimate = new LoadTimeEstimate(options.clock, options.timing.warmLoadMs);
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
    const { slots, lease } = entry;
    const { victim, warm } = placement;
    const { clock, memory, adapterVersion } = this.#options;
    if (victim !== undefined) victim.state = 'unloading';
    const isNewVersion = victim !== undefined && victim.model === model && victim.adapter === adapter;
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
      memory.record(slots.backend.id, slot.key);
      const estimateMs = slot.warm ? this.#warmEstimate.estimateMs : this.#coldEstimate.estimateMs;
      const leftMs = reply.kind === 'done' ? 0 : slot.orderedMs + estimateMs - clock.now();
      this.#options.after(Math.max(leftMs, 0), () => this.#markLoaded(slot));
    } else if (reply.kind !== 'unknown') {
      slots.removeIfSame(slot);
      this.#options.onChange();
    }
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

  /** Called when a request ran on the adapter, which shows that it was loaded in time. */
  recordServed(slot: AdapterSlot): void {
    slot.confirmed = true;
    if (slot.orderedMs === 0) return;
    const estimate = slot.warm ? this.#warmEstimate : this.#coldEstimate;
    const tookMs = slot.firstUsedMs - slot.orderedMs;
    if (!slot.warm) this.#fetchWindow.recordArrival(tookMs, this.#options.fetchesInProgress());
    // A first use long after the load says nothing about how long the load took.
    if (tookMs <= estimate.estimateMs * EARLY_USE_FACTOR) estimate.decrease();
    slot.orderedMs = 0;
  }

  /** Called when a request found its adapter missing: either it is not loaded yet, or the engine lost it. */
  handleMissing(entry: EngineEntry, slot: AdapterSlot): void {
    const nowMs = this.#options.clock.now();
    if (entry.slots.get(slot.key) !== slot || slot.state !== 'loaded') return;
    const isRecent = slot.orderedMs > 0 && nowMs - slot.orderedMs < LOST_ADAPTER_MS;
    if (!isRecent) {
      slot.state = 'unloading';
      entry.lease.settle();
      return;
    }
    slot.state = 'loading';
    // The next use counts as the first one after the load.
    slot.firstUsedMs = 0;
    if (slot.warm) {
      // It was not in the engine's host memory after all and is being fetched from the weight store.
      slot.warm = false;
      const leftMs = slot.orderedMs + this.#coldEstimate.estimateMs - nowMs;
      this.#options.after(Math.max(leftMs, RETRY_PRESENCE_MS), () => this.#markLoaded(slot));
      return;
    }
    this.#coldEstimate.increase();
    const fetch = `${entry.slots.backend.id}/${slot.key}`;
    this.#fetchWindow.recordMissing(fetch, nowMs - slot.orderedMs, this.#options.fetchesInProgress());
    this.#options.after(RETRY_PRESENCE_MS, () => this.#markLoaded(slot));
  }

  /**
   * After a report, marks its loading adapters as loaded after a delay: their loads may have been ordered by another node,
   * so that nothing else would mark them.
   */
  awaitPending(slots: EngineSlots): void {
    for (const slot of slots.slots.values()) {
      if (slot.state === 'loading') this.#options.after(ADOPTED_ARRIVAL_MS, () => this.#markLoaded(slot));
    }
  }

  #markLoaded(slot: AdapterSlot): void {
    if (slot.state !== 'loading') return;
    slot.state = 'loaded';
    this.#options.onChange();
  }
}
