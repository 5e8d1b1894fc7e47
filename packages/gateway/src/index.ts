/**
 * The gateway node, which forwards requests to backends unchanged, and the policies by which it chooses
 * backends.
 */
export { createBoundedServer, type BoundedServerOptions } from './connections/bounded-server.js';
export { GatewayNode } from './gateway-node.js';
export type { GatewayOptions, GatewaySettings } from './gateway-settings.js';
export { listOf } from './peers/list-of.js';
export {
  FOLLOW_METHOD,
  StateFollower,
  type FollowAnswer,
  type FollowRequest,
  type StateFollowerOptions,
} from './cluster/state-follower.js';
export type { PeerCaller } from './cluster/peer-caller.js';
export { ConfigurationFetcher } from './cluster/configuration-fetcher.js';
export {
  ConfigurationParts,
  PART_METHOD,
  type PartReply,
  type PartRequest,
  type WaitingBytes,
} from './cluster/configuration-parts.js';
export { ConfigurationFreshness } from './cluster/configuration-freshness.js';
export { NO_KEY_LEASE, keyLease, type KeyLease } from './cluster/key-lease.js';
export type { StoreReadPace } from './cluster/published-state.js';
export { departureBudget, type DepartureBudget } from './cluster/departure-budget.js';
export { RemoteSlots, type LeaderConnection, type LeaderNetwork } from './cluster/remote-slots.js';
export {
  BACKEND_RATES,
  BORROW_METHOD,
  FleetQuotas,
  RATE_BORROW_METHOD,
  TENANT_QUOTAS,
  rateBorrowParams,
  widenRule,
  type BorrowParams,
  type QuotaCluster,
  type QuotaTolerance,
} from './cluster/fleet-quotas.js';
export { Directory } from './cluster/directory.js';
export type { RetryBudgetOptions } from './backends/retry-budget.js';
export {
  RevocableClient,
  type RequestHandler,
  type RevocableClientOptions,
} from './backends/revocable-client.js';
export { RetryBudget } from './backends/retry-budget.js';
export { GatewayMetrics } from './gateway-metrics.js';
export {
  identifyCaller,
  type CallerIdentity,
  type ConfigurationLease,
  type Identification,
  type IdentityProblem,
} from './request/caller-identity.js';
export type {
  ResponseFacts,
  ResponseHeaders,
  ForwardFacts,
  GenerationFacts,
  RequestDialect,
  RequestFacts,
} from './request/dialect.js';
export { connectionHeaderNames, isEndToEndHeader } from './request/hop-headers.js';
