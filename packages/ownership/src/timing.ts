/** Periods of ownership, in milliseconds. docs/design/ownership.md derives them. */
export interface OwnershipTiming {
  /** Lease on an engine that checks fences. */
  readonly leaseMs: number;
  readonly renewPeriodMs: number;
  /** Lease on an engine that does not: owners wait for it to run out. */
  readonly witnessLeaseMs: number;
  /** Most that the clocks of two machines may differ in rate, as a share. */
  readonly clockSkew: number;
  /** Time limit of one order; nothing of an order is on its way after it. */
  readonly orderTimeoutMs: number;
  readonly retryMs: number;
}

export const DEFAULT_OWNERSHIP_TIMING: OwnershipTiming = {
  leaseMs: 6000,
  renewPeriodMs: 2000,
  witnessLeaseMs: 9000,
  clockSkew: 0.05,
  orderTimeoutMs: 3000,
  retryMs: 500,
};
