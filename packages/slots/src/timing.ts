/** Time settings of order leases and adapter loads, in milliseconds. */
export interface SlotTiming {
  /** Minimum time between orders of two different holders to the same engine. */
  readonly leaseMs: number;
  /** Added to the lease before a new holder's first order, to cover the lag of reports and timers. */
  readonly leaseMarginMs: number;
  /** Pause between two reports while waiting to become holder. */
  readonly observePeriodMs: number;
  /** A report taken sooner than this after an order of unknown outcome may not show the order's effect yet. */
  readonly settleMs: number;
  /** Initial estimate of how long an adapter takes to load from the weight store. */
  readonly coldLoadMs: number;
  /** Initial estimate of how long an adapter takes to load from the engine's host memory. */
  readonly warmLoadMs: number;
}

export const DEFAULT_SLOT_TIMING: Omit<SlotTiming, 'leaseMs'> = {
  leaseMarginMs: 200,
  observePeriodMs: 700,
  settleMs: 700,
  coldLoadMs: 260,
  warmLoadMs: 30,
};
