/** Durations of the ownership protocol, in milliseconds. docs/design/ownership.md derives the values. */
export interface OwnershipTiming {
  /** Length of a lease on an engine that checks fences. */
  readonly leaseMs: number;
  /** Mean interval between renewals of a lease. */
  readonly renewPeriodMs: number;
  /** Length of a lease on an engine that does not check fences; a new owner waits until it has expired. */
  readonly witnessLeaseMs: number;
  /** Maximum difference between the clock rates of two machines, as a fraction. */
  readonly maxClockDrift: number;
  /** Timeout of one order. No part of an order is still in transit after this time. */
  readonly orderTimeoutMs: number;
  /** Mean delay before the next attempt to acquire an engine. */
  readonly retryDelayMs: number;
}

export const DEFAULT_OWNERSHIP_TIMING: OwnershipTiming = {
  leaseMs: 6000,
  renewPeriodMs: 2000,
  witnessLeaseMs: 9000,
  maxClockDrift: 0.05,
  orderTimeoutMs: 3000,
  retryDelayMs: 500,
};
