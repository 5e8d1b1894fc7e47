import { adapterKey } from '@canvasridge/serving';
import { engineCost, totalMs, type CostInputs, type CostTerms } from './engine-cost.js';
import type { EngineCosts } from './engine-costs.js';
import type { EngineEntry } from './engine-entry.js';
import type { EngineRegistry } from './engine-registry.js';
import type { AdapterSlot } from './engine-slots.js';
import { chooseFirstLowest, chooseLowest } from './lowest-cost.js';
import type { PoolIndex } from './pool-index.js';
import { mayRunOn, type SlotRequest } from './slot-request.js';

/**
 * Fraction of an engine's batch above which a load of the adapter on another engine is tried first, because the engine's
 * memory fills up.
 */
const CROWDED_BATCH_SHARE = 0.45;

/** Which versions of an adapter engines hold or must hold; 0 where none was published. */
export interface VersionRules {
  /** The published version. */
  readonly published: (model: string, adapter: string) => number;
  /** The oldest version that may still be granted: for a time after a publication, that is an outdated one. */
  readonly required: (model: string, adapter: string) => number;
}

/** An engine chosen for a request, and its cost. */
export interface EngineChoice {
  readonly entry: EngineEntry;
  readonly inputs: CostInputs;
  readonly terms: CostTerms;
  readonly costMs: number;
  readonly lastChosenMs: number;
}

/** Selects the engine that runs a request. */
export class EngineSelector {
  readonly #engines: EngineRegistry;
  readonly #costs: EngineCosts;
  readonly #versions: VersionRules;

  constructor(engines: EngineRegistry, costs: EngineCosts, versions: VersionRules) {
    this.#engines = engines;
    this.#costs = costs;
    this.#versions = versions;
  }

  /** Returns the engine with the lowest cost that has the request's model or adapter and room within its rate limit. */
  best(request: SlotRequest, index: PoolIndex, nowMs: number): EngineChoice | undefined {
    const choices: EngineChoice[] = [];
    for (const entry of this.#candidates(request, index)) {
      if (!this.#engines.mayServe(entry, request) || !this.#hasTarget(entry, request)) continue;
      if (!this.#engines.hasRoom(entry)) continue;
      choices.push(this.#choice(entry, request, index, nowMs));
    }
    const { disabled } = this.#costs;
    return disabled.has('engine-pace') ? chooseFirstLowest(choices) : chooseLowest(choices);
  }

  #choice(entry: EngineEntry, request: SlotRequest, index: PoolIndex, nowMs: number): EngineChoice {
    const inputs = this.#costs.forGrant(entry.slots, request, index.isAvoided(entry), nowMs);
    const terms = engineCost(inputs, this.#costs.disabled);
    const { lastChosenMs } = entry.slots;
    return { entry, inputs, terms, costMs: totalMs(terms), lastChosenMs };
  }

  /** Whether the request's adapter is being loaded on an engine that may run the request. */
  isLoading(request: SlotRequest, index: PoolIndex): boolean {
    if (request.adapter === undefined) return false;
    const key = adapterKey(request.model, request.adapter);
    return index
      .loading(key)
      .some(({ slots }) => mayRunOn(request, slots.backend) && slots.get(key)?.state === 'loading');
  }

  /** Whether an engine that could run the request has reached its rate limit, or may be made to turn away no more. */
  isRateLimited(request: SlotRequest, index: PoolIndex): boolean {
    for (const entry of this.#candidates(request, index)) {
      if (!this.#engines.hasRoom(entry) && this.#engines.mayServe(entry, request)) return true;
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

  #hasTarget(entry: EngineEntry, request: SlotRequest): boolean {
    const { slots } = entry;
    if (request.adapter === undefined) return slots.models.has(request.model);
    const slot = slots.get(adapterKey(request.model, request.adapter));
    return slot !== undefined && this.#isUsable(slot);
  }

  /**
   * Whether an adapter may get new requests. One of an outdated version still may for a short time while it is in use,
   * until the newer version is loaded.
   */
  #isUsable(slot: AdapterSlot): boolean {
    if (slot.state !== 'loaded') return false;
    if (this.#isCurrent(slot)) return true;
    return slot.users > 0 && slot.version >= this.#versions.required(slot.model, slot.adapter);
  }

  #isCurrent(slot: AdapterSlot): boolean {
    return slot.version >= this.#versions.published(slot.model, slot.adapter);
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
