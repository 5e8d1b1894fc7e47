import type { GrantingPool, PoolLeadership, SlotPool } from '@canvasridge/slots';
import type { FormerLeader } from './former-leader.js';

/** A node's state for one pool of engines or of plain backends. */
export interface PoolEntry {
  readonly leadership: PoolLeadership;
  readonly formerLeader: FormerLeader;
  /** Members that have reported what they run since this node became the leader. */
  readonly reportedMembers: Set<string>;
  /** Present while this node leads the pool, or observes it because it is next to lead. */
  pool: GrantingPool | undefined;
  /** The same pool, if it is one of engines. */
  engines: SlotPool | undefined;
  leading: boolean;
  leadingSinceMs: number;
  /**
   * When reports last showed orders of another node to any engine of the pool while this node may have been
   * cut off from most others.
   */
  foreignOrdersMs: number;
}
