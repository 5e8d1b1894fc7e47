import type { PoolLeadership, SlotPool } from '@canvasridge/slots';
import type { FormerLeader } from './former-leader.js';

/** A node's state for one pool of engines. */
export interface PoolEntry {
  readonly leadership: PoolLeadership;
  readonly formerLeader: FormerLeader;
  /** Members that have reported what they run since this node became the leader. */
  readonly reportedMembers: Set<string>;
  /** Present while this node leads the pool, or observes it because it is next to lead. */
  pool: SlotPool | undefined;
  leading: boolean;
  leadingSinceMs: number;
  /**
   * When reports last showed orders of another node to any engine of the pool while this node may have been
   * cut off from most others.
   */
  foreignOrdersMs: number;
}
