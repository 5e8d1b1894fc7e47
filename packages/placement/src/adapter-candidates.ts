import type { ConfigurationIndex, EngineDefinition } from '@canvasridge/domain';
import { LRUCache } from 'lru-cache';
import { hash32, mixScores } from './rendezvous.js';

const CACHED_ADAPTERS = 4096;
/** Candidates kept for an adapter; demand never spreads one further. */
const CANDIDATE_LIMIT = 16;

/** Engines of one base model with the hashes of their names. */
interface Pool {
  readonly engines: readonly EngineDefinition[];
  readonly hashes: Uint32Array;
}

/**
 * Engines on which an adapter may live, best first. Every node works them out from the configuration
 * alone, so no table of placements is shared.
 */
export class AdapterCandidates {
  readonly #index: ConfigurationIndex;
  readonly #pools = new Map<string, Pool>();
  readonly #ranked = new LRUCache<string, readonly EngineDefinition[]>({ max: CACHED_ADAPTERS });

  constructor(index: ConfigurationIndex) {
    this.#index = index;
  }

  /** The candidates of an adapter of `base`, up to the limit, leaving machines excluded. */
  of(base: string, adapter: string): readonly EngineDefinition[] {
    const key = `${base}:${adapter}`;
    const known = this.#ranked.get(key);
    if (known !== undefined) return known;
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
        // By name, so that equal scores are ordered alike on every node.
        .sort((a, b) => (a.id < b.id ? -1 : 1));
      pool = { engines, hashes: Uint32Array.from(engines, (engine) => hash32(engine.id)) };
      this.#pools.set(base, pool);
    }
    return pool;
  }
}

/** The highest scores, by insertion into a short sorted list: cheaper than sorting all. */
function rank(keyHash: number, pool: Pool): readonly EngineDefinition[] {
  const scores: number[] = [];
  const best: EngineDefinition[] = [];
  for (let index = 0; index < pool.hashes.length; index += 1) {
    const score = mixScores(keyHash, pool.hashes[index] ?? 0);
    if (best.length === CANDIDATE_LIMIT && score <= (scores.at(-1) ?? 0)) continue;
    let place = best.length;
    while (place > 0 && (scores[place - 1] ?? 0) < score) place -= 1;
    scores.splice(place, 0, score);
    best.splice(place, 0, pool.engines[index] as EngineDefinition);
    if (best.length > CANDIDATE_LIMIT) {
      scores.pop();
      best.pop();
    }
  }
  return best;
}
