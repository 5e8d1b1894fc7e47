/** What a leader knows of itself; times in milliseconds, on its own clock. */
export interface LeaderStanding {
  readonly leadingSinceMs: number;
  /** When it was last paused or out of sight of the others, and so may have missed that another node leads. */
  readonly unsureSinceMs: number;
  /** Whether every member that was seen of late is in sight. */
  readonly seesAll: boolean;
}

/**
 * Whether a leader has led so long, without a pause and in sight of all, that no other node can still take itself
 * for the leader. Only then may it give orders to an engine that has taken none yet without waiting for a lease: such an
 * engine shows nothing of another holder.
 * @param settledAfterMs the lease, with its margin
 */
export function isSoleLeader(standing: LeaderStanding, nowMs: number, settledAfterMs: number): boolean {
  const { leadingSinceMs, unsureSinceMs, seesAll } = standing;
  return seesAll && nowMs - Math.max(leadingSinceMs, unsureSinceMs) > settledAfterMs;
}
