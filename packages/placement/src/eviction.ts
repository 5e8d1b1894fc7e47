/** What eviction considers about a loaded adapter. */
export interface EvictionCandidate {
  readonly key: string;
  /** Requests per second for the adapter on this engine. */
  readonly demand: number;
  readonly lastUsedAtMs: number;
  readonly pinned: boolean;
  /** Whether another engine also has it loaded, so that unloading it here blocks no request. */
  readonly replicated: boolean;
}

/** Cost of unloading an adapter that is also loaded elsewhere, as a fraction of the cost of a full reload. */
const REPLICATED_COST_FACTOR = 0.25;

/**
 * Expected rate of stalls that unloading the adapter causes: the rate at which it would have to be reloaded.
 */
function reloadCost(candidate: EvictionCandidate): number {
  return candidate.demand * (candidate.replicated ? REPLICATED_COST_FACTOR : 1);
}

/**
 * Chooses the adapter to evict: the one with the lowest reload cost, then the least recently used. Returns
 * undefined if all candidates are pinned.
 * @param candidates idle adapters
 */
export function chooseVictim(candidates: readonly EvictionCandidate[]): EvictionCandidate | undefined {
  let best: EvictionCandidate | undefined;
  for (const candidate of candidates) {
    if (candidate.pinned) continue;
    if (best === undefined || isCheaper(candidate, best)) best = candidate;
  }
  return best;
}

function isCheaper(candidate: EvictionCandidate, best: EvictionCandidate): boolean {
  const difference = reloadCost(candidate) - reloadCost(best);
  return difference < 0 || (difference === 0 && candidate.lastUsedAtMs < best.lastUsedAtMs);
}
