/** A loaded adapter as eviction sees it. */
export interface EvictionCandidate {
  readonly key: string;
  /** Requests a second for it on this engine. */
  readonly demand: number;
  readonly lastUsedAtMs: number;
  readonly pinned: boolean;
  /** Whether another engine also holds it, so that dropping it here stalls nobody. */
  readonly replicated: boolean;
}

/** A replica that exists elsewhere too costs this share of a stall when it is dropped. */
const REPLICATED_SHARE = 0.25;

/** Expected stall a second that dropping the adapter causes: the rate at which it must be loaded again. */
function reloadCost(candidate: EvictionCandidate): number {
  return candidate.demand * (candidate.replicated ? REPLICATED_SHARE : 1);
}

/** The idle adapter whose loss costs least, by expected stall, then by age; undefined if none may go. */
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
