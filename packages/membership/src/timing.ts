/** Periods of the protocol, in milliseconds. */
export interface MembershipTiming {
  /** One member is probed each period. */
  readonly probePeriodMs: number;
  /** Wait for a direct acknowledgement before other members are asked to probe. */
  readonly probeTimeoutMs: number;
  /** Members asked to probe on this node's behalf. */
  readonly indirectProbes: number;
  /** Time in which a suspected member can refute. */
  readonly suspicionMs: number;
  /** Period in which fresh news are pushed to random members. */
  readonly gossipPeriodMs: number;
  readonly gossipFanout: number;
  /** Period in which what is known is compared with one member. */
  readonly synchronisationPeriodMs: number;
  /** Dead and left members are kept this long, so that old news of them are recognised. */
  readonly forgetMs: number;
  /** Bytes of updates in one datagram at the most. */
  readonly datagramBytes: number;
}

export const DEFAULT_MEMBERSHIP_TIMING: MembershipTiming = {
  probePeriodMs: 1000,
  probeTimeoutMs: 300,
  indirectProbes: 3,
  suspicionMs: 3000,
  gossipPeriodMs: 400,
  gossipFanout: 2,
  synchronisationPeriodMs: 45_000,
  forgetMs: 120_000,
  datagramBytes: 1100,
};
