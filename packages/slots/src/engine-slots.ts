import { adapterKey, type BackendDescription, type EngineProfile } from '@canvasridge/serving';
import type { EngineReport } from './engine-control.js';
import { EnginePace } from './engine-pace.js';
import { PromptBacklog } from './prompt-backlog.js';
import type { PrefillSpeed } from './prefill-speed.js';
import { RunningStreams } from './running-streams.js';

/** `unloading` includes adapters in an unknown state, which occupy a slot until a report shows otherwise. */
export type SlotState = 'loading' | 'loaded' | 'unloading';

/** An adapter slot of an engine, occupied by one adapter. */
export interface AdapterSlot {
  readonly key: string;
  readonly model: string;
  readonly adapter: string;
  version: number;
  state: SlotState;
  /** Number of running requests that use the adapter. */
  users: number;
  lastUsedMs: number;
  /** When its load was ordered; 0 if it was found loaded or the load's duration has been learnt from. */
  orderedMs: number;
  /**
   * Whether a request ran on it or a report showed it as loaded. Until then it may still be loading, and engines may not
   * count orders for an adapter that is.
   */
  confirmed: boolean;
  /** Whether the engine was believed to have it in its host memory when the load was ordered. */
  warm: boolean;
}

/** A load ordered longer ago than this has certainly ended, even if nothing confirmed it. */
const LOAD_SURELY_DONE_MS = 1200;

/** What this node believes about the models, adapters and requests on one engine. */
export class EngineSlots {
  backend: BackendDescription;
  profile: EngineProfile;
  /** Occupied adapter slots by adapter key. */
  readonly slots = new Map<string, AdapterSlot>();
  /** Names of the loaded models. */
  readonly models = new Set<string>();
  /** Number of requests running on the engine. */
  running = 0;
  /**
   * Whether a report showed a model load or unload in progress, or a model load was ordered. It keeps an engine without a
   * model from being ordered to load another one. An engine that holds a model still serves and loads adapters.
   */
  busy = false;
  /** Until when other engines are preferred, after a failure. */
  avoidUntilMs = 0;
  /** No adapter is evicted before this time, because it may be in use without this node knowing. */
  evictAfterMs = 0;

  /** When a request was last sent to it or a load was last ordered. */
  lastChosenMs = 0;

  readonly backlog: PromptBacklog;
  readonly pace = new EnginePace();
  readonly streams = new RunningStreams();

  /** @param poolSpeed prefill speed over all engines of the pool */
  constructor(backend: BackendDescription, profile: EngineProfile, poolSpeed?: PrefillSpeed) {
    this.backlog = new PromptBacklog(poolSpeed);
    this.backend = backend;
    this.profile = profile;
    for (const model of backend.models) this.models.add(model.name);
  }

  /** Updates the state from a report. The user counts of adapters that are still there are kept. */
  adopt(report: EngineReport, nowMs: number): void {
    this.busy = report.busy;
    this.models.clear();
    const present = new Set<string>();
    for (const model of report.models) {
      this.models.add(model.name);
      for (const { name, version } of model.adapters) {
        const key = adapterKey(model.name, name);
        present.add(key);
        this.#adoptSlot(key, model.name, name, version, 'loaded', nowMs);
      }
    }
    for (const { model, adapter, version } of report.pending) {
      const key = adapterKey(model, adapter);
      if (present.has(key)) continue;
      present.add(key);
      this.#adoptSlot(key, model, adapter, version, 'loading', nowMs);
    }
    for (const key of [...this.slots.keys()]) if (!present.has(key)) this.slots.delete(key);
  }

  get(key: string): AdapterSlot | undefined {
    return this.slots.get(key);
  }

  /** Adds a slot for an adapter that is about to be loaded. */
  reserve(model: string, adapter: string, version: number, warm: boolean, nowMs: number): AdapterSlot {
    const key = adapterKey(model, adapter);
    const slot: AdapterSlot = {
      key,
      model,
      adapter,
      version,
      state: 'loading',
      users: 0,
      lastUsedMs: nowMs,
      orderedMs: nowMs,
      confirmed: false,
      warm,
    };
    this.slots.set(key, slot);
    return slot;
  }

  /** Removes a slot, unless another one has replaced it under the same key. */
  removeIfSame(slot: AdapterSlot): void {
    if (this.slots.get(slot.key) === slot) this.slots.delete(slot.key);
  }

  /** Whether all loaded and loading adapters fit the engine's limits. Adapters still being unloaded count as well. */
  isWithinLimits(): boolean {
    return this.slots.size <= this.profile.adapterSlots && this.usedMb() <= this.profile.memoryMb;
  }

  get loadingCount(): number {
    let count = 0;
    for (const slot of this.slots.values()) if (slot.state === 'loading') count += 1;
    return count;
  }

  /** Whether an adapter may be evicted now. */
  isEvictable(slot: AdapterSlot, nowMs: number): boolean {
    if (slot.users > 0 || slot.state !== 'loaded' || nowMs < this.evictAfterMs) return false;
    return slot.confirmed || nowMs - slot.orderedMs > LOAD_SURELY_DONE_MS;
  }

  /** Whether one more adapter of the model fits beside the present ones, including those still loading or unloading. */
  hasRoomFor(model: string): boolean {
    if (this.slots.size >= this.profile.adapterSlots) return false;
    return this.usedMb() + this.#adapterMb(model) <= this.profile.memoryMb;
  }

  /** Memory used by models and adapters, including adapters still loading or unloading. */
  usedMb(): number {
    let used = 0;
    for (const model of this.profile.models) if (this.models.has(model.name)) used += model.sizeMb;
    for (const slot of this.slots.values()) used += this.#adapterMb(slot.model);
    return used;
  }

  #adapterMb(model: string): number {
    return this.profile.models.find((profile) => profile.name === model)?.adapterMb ?? 0;
  }

  #adoptSlot(
    key: string,
    model: string,
    adapter: string,
    version: number,
    state: SlotState,
    nowMs: number,
  ): void {
    const known = this.slots.get(key);
    if (known === undefined) {
      const slot = this.reserve(model, adapter, version, true, nowMs);
      slot.state = state;
      slot.confirmed = state === 'loaded';
      if (slot.confirmed) slot.orderedMs = 0;
      return;
    }
    if (state === 'loaded') known.confirmed = true;
    // The report may be older than a request that has since run on the adapter, which proves that it is loaded.
    if (state === 'loaded' || !known.confirmed) known.state = state;
    if (version > 0) known.version = version;
  }
}
