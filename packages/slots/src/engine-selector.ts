import { adapterKey } from '@canvasridge/serving';
import type { EngineEntry } from './engine-entry.js';
import type { EngineRegistry } from './engine-registry.js';
import type { AdapterSlot } from './engine-slots.js';
import type { PoolIndex } from './pool-index.js';
import type { SlotRequest } from './slot-request.js';

/**
 * Fraction of an engine's batch above which a load of the adapter on another engine is tried first, because the engine's
 * memory fills up.
 */
const CROWDED_BATCH_SHARE = 0.45;
/** Cost of each running request on an engine in addition to its backlog, in ms, as each takes a part of every decode step. */
export const RUNNING_COST_MS = 8;
/** Additional cost of an engine that failed a request recently, in ms. */
const AVOIDED_COST_MS = 500;
/** How long an adapter may still get new requests after a newer version was published. */
const OUTDATED_GRACE_MS = 1500;

/** Returns the published version of an adapter, 0 if none was published. */
export type PublishedVersion = (model: string, adapter: string) => number;

/** Selects the engine that runs a request. */
export class EngineSelector {
  readonly #engines: EngineRegistry;
  readonly #publishedVersion: PublishedVersion;

  constructor(engines: EngineRegistry, publishedVersion: PublishedVersion) {
    this.#engines = engines;
    this.#publishedVersion = publishedVersion;
  }

  /** Returns the engine with the lowest cost that has the request's model or adapter and room within its rate limit. */
  best(request: SlotRequest, index: PoolIndex, nowMs: number): EngineEntry | undefined {
    let best: EngineEntry | undefined;
    for (const entry of this.#candidates(request, index)) {
      if (!this.#engines.mayServe(entry, request) || !this.#hasTarget(entry, request, nowMs)) continue;
      if (!entry.rate.hasRoom) continue;
      if (best === undefined || costMs(entry, index, nowMs) < costMs(best, index, nowMs)) best = entry;
    }
    return best;
  }

  /** Whether the request's adapter is being loaded on an engine that the request does not exclude. */
  isLoading(request: SlotRequest, index: PoolIndex): boolean {
    if (request.adapter === undefined) return false;
    const key = adapterKey(request.model, request.adapter);
    return index
      .loading(key)
      .some(
        ({ slots }) => !request.excluded.includes(slots.backend.id) && slots.get(key)?.state === 'loading',
      );
  }

  /** Whether an engine that could run the request has reached its rate limit. */
  isRateLimited(request: SlotRequest, index: PoolIndex): boolean {
    for (const entry of this.#candidates(request, index)) {
      if (!entry.rate.hasRoom && this.#engines.mayServe(entry, request)) return true;
    }
    return false;
  }

  /** Whether an engine has the published version of the adapter loaded, so that it need not be loaded there again. */
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

  /**
   * Whether an adapter may get new requests. One of an outdated version still may for a short time while it is in use,
   * until the newer version is loaded.
   */
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

/** Estimated time until an engine starts on a new prompt. Infinity if its batch is full. */
export function startDelayMs(entry: EngineEntry, nowMs: number): number {
  const { slots } = entry;
  if (slots.running >= slots.backend.slots) return Infinity;
  return slots.backlog.remainingMs(nowMs);
}

/** Whether an engine runs so many requests that another engine should be preferred. */
export function isCrowded({ slots }: EngineEntry): boolean {
  return slots.running >= slots.backend.slots * CROWDED_BATCH_SHARE;
}

function costMs(entry: EngineEntry, index: PoolIndex, nowMs: number): number {
  const { slots } = entry;
  const avoidedMs = index.isAvoided(entry) ? AVOIDED_COST_MS : 0;
  return slots.backlog.remainingMs(nowMs) + RUNNING_COST_MS * slots.running + avoidedMs;
}
