import type { DepartureBudget } from './departure-budget.js';

/**
 * How the time within which a withdrawn key must stop working (the revocation bound) is divided. A node relies on its
 * configuration for {@link LEASE_SHARE} of the bound, counted from the store's answer; what is left of the bound is for a
 * request that was checked just before: its way to the engine. Operators
 * count nothing as owed by a node that has had no way to the store for so long.
 */
const LEASE_SHARE = 0.6;
/** Part of the lease after which a watch of the operators' entries ends without news, so that a reader knows it is in touch. */
const WATCH_SHARE = 0.3;
/**
 * Part of the lease for which a watch may be overdue: together with the watch 0.4, so that a reading after it still
 * confirms the configuration before the lease of followers ends.
 */
const OVERDUE_SHARE = 0.1;
/** A follower asks up to so many readers, one after another, before one answers. */
const HEDGES = 3;

/** Times in milliseconds. */
export interface KeyLease {
  /** A configuration that was known to be the newest for so long ago gives no right any more. */
  readonly leaseMs: number;
  readonly watchMs: number;
  /** A watch that is overdue by this is given up, and the entries are read. */
  readonly overdueMs: number;
}

export const NO_KEY_LEASE: KeyLease = { leaseMs: Infinity, watchMs: Infinity, overdueMs: Infinity };

/** @param revocationMs time within which a withdrawn key must not be run for on any node */
export function keyLease(revocationMs: number): KeyLease {
  const leaseMs = revocationMs * LEASE_SHARE;
  return { leaseMs, watchMs: leaseMs * WATCH_SHARE, overdueMs: leaseMs * OVERDUE_SHARE };
}

/**
 * Age that a follower's configuration reaches in a calm fleet: its reader heard from the store at the end of its last
 * watch, and the follower asks once a round. Has to be below the lease, or calm nodes refuse.
 */
export function usualAgeMs({ watchMs }: KeyLease, { pollMs, hedgeMs }: DepartureBudget): number {
  return watchMs + pollMs + HEDGES * hedgeMs;
}
