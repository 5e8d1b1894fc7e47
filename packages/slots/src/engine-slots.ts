import { adapterKey, type BackendDescription, type EngineProfile } from '@canvasridge/serving';
import type { EngineReport } from './engine-control.js';
import { PromptBacklog } from './prompt-backlog.js';
import type { PrefillSpeed } from './prefill-speed.js';

/** `unloading` includes adapters whose fate is not known; they take a slot until a report shows otherwise. */
export type SlotState = 'loading' | 'loaded' | 'unloading';

/** One adapter on one engine. */
export interface AdapterSlot {
  readonly key: string;
  readonly model: string;
  readonly adapter: string;
  version: number;
  state: SlotState;
  /** Requests that were sent to use it and have not ended. */
  users: number;
  lastUsedMs: number;
  /** When its load was ordered; 0 if it was found loaded. */
  orderedMs: number;
  /** When a request was first sent to use it since then; 0 if none was. */
  firstUsedMs: number;
  /** Whether a request ran on it or a report showed it. An order about one still on its way may not count. */
  confirmed: boolean;
  /** Whether the engine was thought to have it in its memory when the load was ordered. */
  warm: boolean;
  /** When the published version moved beyond this one; 0 while it has not. */
  outdatedSinceMs: number;
}

/** A load that was ordered so long ago has ended, whether a request ran on it or not. */
const LOAD_SURELY_DONE_MS = 1200;

/** What one node believes of the models, adapters and requests on one engine. */
export class EngineSlots {
  backend: BackendDescription;
  profile: EngineProfile;
  readonly slots = new Map<string, AdapterSlot>();
  readonly models = new Set<string>();
  /** Requests sent here that have not ended. */
  running = 0;
  /**
   * A report showed an order under way, or a model was ordered here. It keeps an engine without a model from
   * being asked for another; one that holds a model serves and loads adapters meanwhile.
   */
  busy = false;
  /** No new requests before this time, after failures. */
  avoidUntilMs = 0;
  /** No adapter gives way before this time, as it may be in use without this node knowing. */
  evictAfterMs = 0;

  readonly backlog: PromptBacklog;

  /** @param poolSpeed how fast the engines of the pool read prompts */
  constructor(backend: BackendDescription, profile: EngineProfile, poolSpeed?: PrefillSpeed) {
    this.backlog = new PromptBacklog(poolSpeed);
    this.backend = backend;
    this.profile = profile;
    for (const model of backend.models) this.models.add(model.name);
  }

  /** Takes over what a report shows. Users of adapters that stay are kept. */
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
      firstUsedMs: 0,
      confirmed: false,
      warm,
      outdatedSinceMs: 0,
    };
    this.slots.set(key, slot);
    return slot;
  }

  /** Removes a slot, unless another one has taken its place. */
  removeIfSame(slot: AdapterSlot): void {
    if (this.slots.get(slot.key) === slot) this.slots.delete(slot.key);
  }

  /** Whether all that is here or on its way fits, but for adapters about to be unloaded before a load. */
  isWithinLimits(): boolean {
    return this.slots.size <= this.profile.adapterSlots && this.usedMb() <= this.profile.memoryMb;
  }

  get loadingCount(): number {
    let count = 0;
    for (const slot of this.slots.values()) if (slot.state === 'loading') count += 1;
    return count;
  }

  /** Whether an adapter may give way now. */
  isEvictable(slot: AdapterSlot, nowMs: number): boolean {
    if (slot.users > 0 || slot.state !== 'loaded' || nowMs < this.evictAfterMs) return false;
    return slot.confirmed || nowMs - slot.orderedMs > LOAD_SURELY_DONE_MS;
  }

  /** Whether one more adapter fits beside those that are here or on their way. */
  hasRoomFor(model: string): boolean {
    if (this.slots.size >= this.profile.adapterSlots) return false;
    return this.usedMb() + this.#adapterMb(model) <= this.profile.memoryMb;
  }

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
    // A report may be older than the requests that ran on it since.
    if (state === 'loaded' || !known.confirmed) known.state = state;
    if (version > 0) known.version = version;
  }
}
