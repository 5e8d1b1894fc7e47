import type { PoolLeadership, SlotPool } from '@canvasridge/slots';
import type { FormerLeader } from './former-leader.js';

/** What a node holds of one pool of engines. */
export interface PoolEntry {
  readonly leadership: PoolLeadership;
  readonly former: FormerLeader;
  /** Members that have told what they run since this node leads. */
  readonly told: Set<string>;
  /** Kept while this node leads, or observes since it is next to lead. */
  pool: SlotPool | undefined;
  leading: boolean;
  leadingSinceMs: number;
  /** When reports last showed orders of another node to any engine of the pool. */
  foreignOrdersMs: number;
}
