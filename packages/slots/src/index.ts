/** Manages the adapter slots of model engines: which node may give orders to engines, and which request gets which slot. */
export {
  ORDER_TIMEOUT_MS,
  type EngineControl,
  type NoticeListener,
  type EngineOrder,
  type EngineReport,
  type OrderReply,
  type OrderSubject,
  type PendingAdapter,
} from './engine-control.js';
export { OrderLease, type NotHeld, type OrderHolder, type OrderLeaseOptions } from './order-lease.js';
export { StoreLoadBudget } from './store-load-budget.js';
export { MECHANISMS, type Mechanism, type DisabledMechanisms } from './mechanisms.js';
export { PauseDetector } from './pause-detector.js';
export { AdapterMemory } from './adapter-memory.js';
export type { PoolFigures } from './pool-figures.js';
export { BackendPool, type BackendPoolFigures, type BackendPoolOptions } from './backend-pool.js';
export { RecentFailures } from './recent-failures.js';
export { SlotPool, type SlotPoolOptions } from './slot-pool.js';
export { WaitingList, type WaitingRequest } from './waiting-list.js';
export type { GrantFigures, GrantingPool } from './granting-pool.js';
export {
  isEngineRequest,
  mayRunOn,
  type PoolRequest,
  type RefusalReason,
  type RunningUse,
  type SlotDecision,
  type SlotRequest,
  type StreamProgress,
  type UseOutcome,
} from './slot-request.js';
export { RejectionGuard } from './rejection-guard.js';
export { DEFAULT_SLOT_TIMING, type SlotTiming } from './timing.js';
export { PoolLeadership, type LeadershipPeers, type PoolClaim } from './pool-leadership.js';
export { PeerVisibility } from './peer-visibility.js';
