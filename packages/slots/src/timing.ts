/** Periods of giving orders and of handing out slots, in milliseconds. */
export interface SlotTiming {
  /** Two holders may not take turns at one engine within this time. */
  readonly leaseMs: number;
  /** Added to the lease before a new holder gives its first order: lag of reports and timers. */
  readonly leaseMarginMs: number;
  /** Pause between two reports while a holder waits for its turn. */
  readonly observePeriodMs: number;
  /** After an order of unknown outcome, a report younger than this may not show it yet. */
  readonly settleMs: number;
  /** First guess of how long an adapter takes from the weight store, and from the engine's own memory. */
  readonly coldLoadMs: number;
  readonly warmLoadMs: number;
}

export const DEFAULT_SLOT_TIMING: Omit<SlotTiming, 'leaseMs'> = {
  leaseMarginMs: 200,
  observePeriodMs: 700,
  settleMs: 700,
  coldLoadMs: 260,
  warmLoadMs: 30,
};
