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
  readonly adapterVersion: (model: string, adapter: string) => number;
  /** Calls back after a time, unless the pool was closed meanwhile. */
  readonly after: (delayMs: number, action: () => void) => void;
  /** Slots changed, so waiting requests may be served. */
  readonly onChange: () => void;
  /** Adapters that are on their way from the weight store to any engine. */
  readonly fetchesUnderWay: () => number;
}

/** A first use up to this many guesses after the order tells whether the guess was long enough. */
const EARLY_USE_FACTOR = 1.2;
const RETRY_PRESENCE_MS = 50;
/** An adapter that a report shows on its way is tried after this time. */
const ADOPTED_ARRIVAL_MS = 150;
/** An adapter that is missing so long after its load was lost by the engine. */
const LOST_ADAPTER_MS = 2500;

/**
 * Brings adapters into slots and takes others out. Engines do not tell when a load is done, so arrivals are
 * guessed, and corrected when a request finds its adapter missing.
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

  /** Present guess of how long a fetch from the weight store takes, in milliseconds. */
  get coldLoadMs(): number {
    return this.#coldEstimate.estimateMs;
  }

  /** The same for a load from the engine's own memory. */
  get warmLoadMs(): number {
    return this.#warmEstimate.estimateMs;
  }

  /** So many engines are listed. */
  setEngineCount(count: number): void {
    this.#fetchWindow.setEngineCount(count);
  }

  /** Fetches from the weight store that may be under way at the same time. */
  get fetchWindow(): number {
    return this.#fetchWindow.size;
  }

  /** Loads an adapter, in place of another one if need be. Its slot is taken from the first moment on. */
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
    // A report that was read meanwhile may have changed what is here.
    if (slots.get(slot.key) !== slot || !slots.isWithinLimits()) {
      slots.removeIfSame(slot);
      this.#options.onChange();
      return;
    }
    slot.version = adapterVersion(model, adapter);
    slot.orderedMs = clock.now();
    const reply = await lease.order({ action: 'load', model, adapter });
    if (reply.kind === 'accepted' || reply.kind === 'done') {
      memory.note(slots.backend.id, slot.key);
      const estimateMs = slot.warm ? this.#warmEstimate.estimateMs : this.#coldEstimate.estimateMs;
      const leftMs = reply.kind === 'done' ? 0 : slot.orderedMs + estimateMs - clock.now();
      this.#options.after(Math.max(leftMs, 0), () => this.#markLoaded(slot));
    } else if (reply.kind !== 'unknown') {
      slots.removeIfSame(slot);
      this.#options.onChange();
    }
  }

  /** Unloads an adapter. Returns whether it is gone. */
  async #unload(entry: EngineEntry, victim: AdapterSlot): Promise<boolean> {
    const { slots, lease } = entry;
    const reply = await lease.order({ action: 'unload', model: victim.model, adapter: victim.adapter });
    if (reply.kind === 'done') {
      slots.removeIfSame(victim);
      return true;
    }
    if (reply.kind === 'not-held') victim.state = 'loaded';
    // Still in use, or its fate is unknown: it takes its slot until a report shows otherwise.
    else lease.settle();
    return false;
  }

  /** A request ran on the adapter, so it was there in time. */
  recordServed(slot: AdapterSlot): void {
    slot.confirmed = true;
    if (slot.orderedMs === 0) return;
    const estimate = slot.warm ? this.#warmEstimate : this.#coldEstimate;
    const tookMs = slot.firstUsedMs - slot.orderedMs;
    if (!slot.warm) this.#fetchWindow.recordArrival(tookMs, this.#options.fetchesUnderWay());
    // A request that came long after the load tells nothing of how long the guess has to be.
    if (tookMs <= estimate.estimateMs * EARLY_USE_FACTOR) estimate.decrease();
    slot.orderedMs = 0;
  }

  /** The engine did not have what it was thought to have: too early, or it lost it. */
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
    // The next use is the first that may find it.
    slot.firstUsedMs = 0;
    if (slot.warm) {
      // It was not in the engine's memory after all, and is being fetched.
      slot.warm = false;
      const leftMs = slot.orderedMs + this.#coldEstimate.estimateMs - nowMs;
      this.#options.after(Math.max(leftMs, RETRY_PRESENCE_MS), () => this.#markLoaded(slot));
      return;
    }
    this.#coldEstimate.increase();
    const fetch = `${entry.slots.backend.id}/${slot.key}`;
    this.#fetchWindow.recordMissing(fetch, nowMs - slot.orderedMs, this.#options.fetchesUnderWay());
    this.#options.after(RETRY_PRESENCE_MS, () => this.#markLoaded(slot));
  }

  /** Adapters that a report shows on their way arrive without an order from here. */
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
