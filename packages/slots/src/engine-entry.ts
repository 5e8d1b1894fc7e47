import type { EngineRate } from './engine-rate.js';
import type { EngineSlots } from './engine-slots.js';
import type { OrderLease } from './order-lease.js';

/** An engine of a pool: what is believed of it, and the right to give it orders. */
export interface EngineEntry {
  readonly slots: EngineSlots;
  readonly lease: OrderLease;
  readonly rate: EngineRate;
  /** When it left the published list; undefined while it is listed. It is given no work meanwhile. */
  unlistedSinceMs: number | undefined;
}
