import type { EngineRate } from './engine-rate.js';
import type { EngineSlots } from './engine-slots.js';
import type { OrderLease } from './order-lease.js';

/** An engine of a pool: its believed state, the right to give it orders, and its rate limit. */
export interface EngineEntry {
  readonly slots: EngineSlots;
  readonly lease: OrderLease;
  readonly rate: EngineRate;
  /** When it left the published list; undefined while it is listed. An unlisted engine gets no requests. */
  unlistedSinceMs: number | undefined;
}
