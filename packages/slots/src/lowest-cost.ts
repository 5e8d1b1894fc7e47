/** A candidate with its cost in milliseconds and when it was last chosen. */
export interface Candidate {
  readonly costMs: number;
  readonly lastChosenMs: number;
}

/** Costs within this fraction of the lowest one count as equal: beliefs about engines are no more exact. */
const NEAR_EQUAL_SHARE = 0.05;

/**
 * Returns the candidate with the lowest cost, and among near-equals the one that was chosen longest ago, so that not all
 * requests go to one engine.
 */
export function chooseLowest<T extends Candidate>(candidates: readonly T[]): T | undefined {
  let lowestMs = Infinity;
  for (const { costMs } of candidates) lowestMs = Math.min(lowestMs, costMs);
  let chosen: T | undefined;
  for (const candidate of candidates) {
    if (candidate.costMs > lowestMs * (1 + NEAR_EQUAL_SHARE)) continue;
    if (chosen === undefined || candidate.lastChosenMs < chosen.lastChosenMs) chosen = candidate;
  }
  return chosen;
}

/** Returns the first candidate with the lowest cost. */
export function chooseFirstLowest<T extends Candidate>(candidates: readonly T[]): T | undefined {
  let chosen: T | undefined;
  for (const candidate of candidates) {
    if (chosen === undefined || candidate.costMs < chosen.costMs) chosen = candidate;
  }
  return chosen;
}
