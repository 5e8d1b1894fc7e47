import { adapterKey } from '@canvasridge/serving';
import type { EngineEntry } from './engine-entry.js';
import type { EngineRegistry } from './engine-registry.js';
import type { AdapterSlot } from './engine-slots.js';
import type { PoolIndex } from './pool-index.js';
import type { SlotRequest } from './slot-request.js';

/** Part of an engine's batch beyond which it takes more only when no other engine gets the adapter: its memory fills up. */
const CROWDED_BATCH_SHARE = 0.45;
/** What a request that runs on an engine counts beside the prompts ahead, in ms: it takes a part of each step. */
export const RUNNING_COST_MS = 8;
/** The same for an engine that failed a moment ago. */
const AVOIDED_COST_MS = 500;
/** Time after which an adapter of an older version serves no new requests. */
const OUTDATED_GRACE_MS = 1500;

/** The version of an adapter that was published, 0 if none was. */
export type PublishedVersion = (model: string, adapter: string) => number;

/** Chooses among the engines that can run a request now. */
export class EngineSelector {
  readonly #engines: EngineRegistry;
  readonly #publishedVersion: PublishedVersion;

  constructor(engines: EngineRegistry, publishedVersion: PublishedVersion) {
    this.#engines = engines;
    this.#publishedVersion = publishedVersion;
  }

  /** The least busy engine that has what the request needs. */
  best(request: SlotRequest, index: PoolIndex, nowMs: number): EngineEntry | undefined {
    let best: EngineEntry | undefined;
    for (const entry of this.#candidates(request, index)) {
      if (!this.#engines.mayServe(entry, request) || !this.#hasTarget(entry, request, nowMs)) continue;
      if (!entry.rate.hasRoom) continue;
      if (best === undefined || costMs(entry, index, nowMs) < costMs(best, index, nowMs)) best = entry;
    }
    return best;
  }

  /** Whether the adapter is on its way to an engine that may run the request. */
  isLoading(request: SlotRequest, index: PoolIndex): boolean {
    if (request.adapter === undefined) return false;
    const key = adapterKey(request.model, request.adapter);
    return index
      .loading(key)
      .some(
        ({ slots }) => !request.excluded.includes(slots.backend.id) && slots.get(key)?.state === 'loading',
      );
  }

  /** Whether an engine that could run the request takes no more at present. */
  isRateLimited(request: SlotRequest, index: PoolIndex): boolean {
    for (const entry of this.#candidates(request, index)) {
      if (!entry.rate.hasRoom && this.#engines.mayServe(entry, request)) return true;
    }
    return false;
  }

  /** Whether an engine has an adapter that is still good, so that another load there adds nothing. */
  hasCurrentAdapter(entry: EngineEntry, key: string): boolean {
    const slot = entry.slots.get(key);
    return slot?.state === 'loaded' && this.#isCurrent(slot);
  }

  #candidates(request: SlotRequest, index: PoolIndex): Iterable<EngineEntry> {
    if (request.adapter === undefined) return this.#engines.all();
    return index.holders(adapterKey(request.model, request.adapter));
  }

  #hasTarget(entry: EngineEntry, request: SlotRequest, nowMs: number): boolean {
    const { slots } = entry;
    if (request.adapter === undefined) return slots.models.has(request.model);
    const slot = slots.get(adapterKey(request.model, request.adapter));
    return slot !== undefined && this.#isUsable(slot, nowMs);
  }

  /** An adapter whose version was overtaken serves on for a short while, until a newer one is loaded. */
  #isUsable(slot: AdapterSlot, nowMs: number): boolean {
    if (slot.state !== 'loaded') return false;
    if (this.#isCurrent(slot)) return true;
    if (slot.outdatedSinceMs === 0) slot.outdatedSinceMs = nowMs;
    return slot.users > 0 && nowMs - slot.outdatedSinceMs < OUTDATED_GRACE_MS;
  }

  #isCurrent(slot: AdapterSlot): boolean {
    return slot.version >= this.#publishedVersion(slot.model, slot.adapter);
  }
}

/** How long an engine is busy with the prompts before a new one; a full engine counts as busy for ever. */
export function startDelayMs(entry: EngineEntry, nowMs: number): number {
  const { slots } = entry;
  if (slots.running >= slots.backend.slots) return Infinity;
  return slots.backlog.remainingMs(nowMs);
}

/** Whether an engine runs so many requests that others should be preferred. */
export function isCrowded({ slots }: EngineEntry): boolean {
  return slots.running >= slots.backend.slots * CROWDED_BATCH_SHARE;
}

function costMs(entry: EngineEntry, index: PoolIndex, nowMs: number): number {
  const { slots } = entry;
  const avoidedMs = index.isAvoided(entry) ? AVOIDED_COST_MS : 0;
  return slots.backlog.remainingMs(nowMs) + RUNNING_COST_MS * slots.running + avoidedMs;
}
