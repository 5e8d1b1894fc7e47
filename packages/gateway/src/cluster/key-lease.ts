import type { DepartureBudget } from './departure-budget.js';

/**
 * How the time within which a revoked key must stop working (the revocation bound) is divided. A node
 * relies on its configuration for {@link LEASE_SHARE} of the bound, counted from the store's answer; the rest
 * of the bound is for a request that was checked just before the lease expired, on its way to the engine.
 * Operators expect no service from a node that has had no path to the store for that long.
 */
const LEASE_SHARE = 0.6;
/**
 * Fraction of the lease after which a watch of the operators' entries ends even without changes, so that a
 * reader of the store knows that it still has contact.
 */
const WATCH_SHARE = 0.3;
/**
 * Fraction of the lease for which a watch may be overdue: together with the watch 0.4, so that a read after
 * it still confirms the configuration before the lease of followers expires.
 */
const OVERDUE_SHARE = 0.1;
/** A follower asks up to this many readers, one after another, before one answers. */
const MAX_HEDGES = 3;

/** Times in milliseconds. */
export interface KeyLease {
  /** A configuration that was last known to be the newest longer ago than this grants no rights any more. */
  readonly leaseMs: number;
  /** Longest watch of the operators' entries. */
  readonly watchMs: number;
  /** A watch that is overdue by this is abandoned, and the entries are read instead. */
  readonly overdueMs: number;
}

/** Used where no revocation bound is set: the configuration never expires. */
export const NO_KEY_LEASE: KeyLease = { leaseMs: Infinity, watchMs: Infinity, overdueMs: Infinity };

/** @param revocationMs time within which every node must stop running requests for a revoked key */
export function keyLease(revocationMs: number): KeyLease {
  const leaseMs = revocationMs * LEASE_SHARE;
  return { leaseMs, watchMs: leaseMs * WATCH_SHARE, overdueMs: leaseMs * OVERDUE_SHARE };
}

/**
 * Age that a follower's configuration reaches in a fleet without faults: its reader heard from the store at
 * the end of its last watch, and the follower asks once a round. Must be below the lease, or nodes refuse
 * requests although nothing is wrong.
 */
export function expectedAgeMs({ watchMs }: KeyLease, { pollMs, hedgeMs }: DepartureBudget): number {
  return watchMs + pollMs + MAX_HEDGES * hedgeMs;
}
