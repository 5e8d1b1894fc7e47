/** Routes, services and backends, and a node's view of the published state. */
export type {
  BackendService,
  EngineProfile,
  HttpRoute,
  ModelProfile,
  RequestLimits,
  RouteKind,
  ServingConfiguration,
  WeightedService,
} from './configuration.js';
export { TenantTable, type KeyLookup, type KeyProblem, type Tenant, type TenantQuota } from './tenants.js';
export { RouteTable, pickService } from './route-table.js';
export {
  adapterKey,
  softwareVersionOf,
  type BackendDescription,
  type BackendNotice,
  type HeldAdapter,
  type HeldModel,
} from './backend.js';
export {
  BackendListUpdater,
  STORE_RETURN_WINDOW_MS,
  shortestExpiryMs,
  type DeferredRemoval,
} from './backend-list-updater.js';
export {
  FleetState,
  type ListenerFailure,
  type Departure,
  type DepartureSource,
  type FleetChange,
  type NewEra,
} from './fleet-state.js';
export { AdapterVersions, type VersionSource } from './adapter-versions.js';
export { routingContent, type RoutingFields } from './routing-content.js';
export { VersionGrace, type VersionGraceOptions } from './version-grace.js';
export { NO_ERA } from './publishing-era.js';
export type {
  AdapterVersion,
  BackendListing,
  FleetSnapshot,
  OperatorState,
  PublishedPoint,
  Revised,
} from './published.js';
