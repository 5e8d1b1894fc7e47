/** A leader's own state; times in milliseconds, on its own clock. */
export interface LeaderState {
  readonly leadingSinceMs: number;
  /**
   * When the leader was last paused or without contact to the others, and so may have missed that another
   * node leads.
   */
  readonly lastDisruptionMs: number;
  /** Whether every member that was seen recently is visible. */
  readonly seesAll: boolean;
}

/**
 * Whether a node has led for so long, without a pause and with all members visible, that no other node can
 * still consider itself the leader. Only then may it give an order without waiting for a lease to an engine
 * that has received none yet: such an engine shows no sign of another holder.
 * @param settledAfterMs the lease plus its margin
 */
export function isSoleLeader(state: LeaderState, nowMs: number, settledAfterMs: number): boolean {
  const { leadingSinceMs, lastDisruptionMs, seesAll } = state;
  return seesAll && nowMs - Math.max(leadingSinceMs, lastDisruptionMs) > settledAfterMs;
}
