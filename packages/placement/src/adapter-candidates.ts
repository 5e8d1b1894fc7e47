import type { ConfigurationIndex, EngineDefinition } from '@canvasridge/domain';
import { LRUCache } from 'lru-cache';
import { rankByRendezvous } from './rendezvous.js';

const CACHED_ADAPTERS = 4096;
/** Candidates kept for an adapter; demand never spreads one further. */
const CANDIDATE_LIMIT = 16;

/**
 * Engines on which an adapter may live, best first. Every node works them out from the configuration
 * alone, so no table of placements is shared.
 */
export class AdapterCandidates {
  readonly #index: ConfigurationIndex;
  readonly #ranked = new LRUCache<string, readonly EngineDefinition[]>({ max: CACHED_ADAPTERS });

  constructor(index: ConfigurationIndex) {
    this.#index = index;
  }

  /** All candidates of an adapter of `base`, up to the limit, leaving machines excluded. */
  of(base: string, adapter: string): readonly EngineDefinition[] {
    const key = `${base}:${adapter}`;
    const known = this.#ranked.get(key);
    if (known !== undefined) return known;
    const staying = this.#index.enginesOf(base).filter((engine) => !this.#index.isLeaving(engine.machine));
    const ranked = rankByRendezvous(key, staying, (engine) => engine.id).slice(0, CANDIDATE_LIMIT);
    this.#ranked.set(key, ranked);
    return ranked;
  }
}
