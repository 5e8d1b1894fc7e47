import type { ConfigurationIndex, EngineDefinition } from '@canvasridge/domain';
import { LRUCache } from 'lru-cache';
import { hash32, mixScores } from './rendezvous.js';

/** Maximum number of adapters whose candidates are cached. */
const MAX_CACHED_ADAPTERS = 4096;
/** Maximum number of candidates of an adapter. High demand never spreads an adapter over more engines. */
const MAX_CANDIDATES = 16;

/** Engines of one base model with the hashes of their ids. */
interface Pool {
  readonly engines: readonly EngineDefinition[];
  readonly hashes: Uint32Array;
}

/**
 * Computes the engines on which an adapter may be loaded, best first. Every node computes them from the
 * configuration alone, so nodes share no placement table.
 */
export class AdapterCandidates {
  readonly #index: ConfigurationIndex;
  readonly #pools = new Map<string, Pool>();
  readonly #ranked = new LRUCache<string, readonly EngineDefinition[]>({ max: MAX_CACHED_ADAPTERS });

  constructor(index: ConfigurationIndex) {
    this.#index = index;
  }

  /**
   * The candidates of an adapter of `base`, at most `MAX_CANDIDATES`. Engines on leaving machines are
   * excluded.
   */
  of(base: string, adapter: string): readonly EngineDefinition[] {
    const key = `${base}:${adapter}`;
    const cached = this.#ranked.get(key);
    if (cached !== undefined) return cached;
    const ranked = rank(hash32(key), this.#pool(base));
    this.#ranked.set(key, ranked);
    return ranked;
  }

  #pool(base: string): Pool {
    let pool = this.#pools.get(base);
    if (pool === undefined) {
      const engines = this.#index
        .enginesOf(base)
        .filter((engine) => !this.#index.isLeaving(engine.machine))
        // Sorted by id, so that every node orders equal scores in the same way.
        .sort((a, b) => (a.id < b.id ? -1 : 1));
      pool = { engines, hashes: Uint32Array.from(engines, (engine) => hash32(engine.id)) };
      this.#pools.set(base, pool);
    }
    return pool;
  }
}

/**
 * Returns the engines with the highest scores. Insertion into a short sorted list is cheaper than sorting
 * all.
 */
function rank(keyHash: number, pool: Pool): readonly EngineDefinition[] {
  const scores: number[] = [];
  const best: EngineDefinition[] = [];
  for (let index = 0; index < pool.hashes.length; index += 1) {
    const score = mixScores(keyHash, pool.hashes[index] ?? 0);
    if (best.length === MAX_CANDIDATES && score <= (scores.at(-1) ?? 0)) continue;
    let position = best.length;
    while (position > 0 && (scores[position - 1] ?? 0) < score) position -= 1;
    scores.splice(position, 0, score);
    best.splice(position, 0, pool.engines[index] as EngineDefinition);
    if (best.length > MAX_CANDIDATES) {
      scores.pop();
      best.pop();
    }
  }
  return best;
}
