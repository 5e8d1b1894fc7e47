/** Tuning of the membership protocol. Durations are in milliseconds. */
export interface MembershipTiming {
  /** One member is probed in each period. */
  readonly probePeriodMs: number;
  /** How long to wait for a direct acknowledgement before asking other members to probe the target. */
  readonly probeTimeoutMs: number;
  /** How many members are asked to probe a target that did not acknowledge a direct probe. */
  readonly indirectProbes: number;
  /** How long a suspected member has to refute the suspicion before it is declared dead. */
  readonly suspicionMs: number;
  /** Interval at which queued updates are sent to random members. */
  readonly gossipPeriodMs: number;
  /** How many random members receive each round of gossip. */
  readonly gossipFanout: number;
  /** Mean interval at which this node compares its state with one random member. */
  readonly synchronisationPeriodMs: number;
  /**
   * How long dead and departed members are kept, so that late updates about them are recognised as outdated.
   */
  readonly removedRetentionMs: number;
  /** Maximum size of the updates in one datagram, in bytes. */
  readonly maxUpdateBytes: number;
}

export const DEFAULT_MEMBERSHIP_TIMING: MembershipTiming = {
  probePeriodMs: 1000,
  probeTimeoutMs: 300,
  indirectProbes: 3,
  suspicionMs: 3000,
  gossipPeriodMs: 400,
  gossipFanout: 2,
  synchronisationPeriodMs: 45_000,
  removedRetentionMs: 120_000,
  maxUpdateBytes: 1100,
};
