/** Routes, services, backends, and what a node knows of the published state. */
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
  type BackendDescription,
  type BackendNotice,
  type HeldAdapter,
  type HeldModel,
} from './backend.js';
export { BackendLapses, type HeldRemoval } from './backend-lapses.js';
export {
  FleetState,
  type AdapterVersion,
  type BackendListing,
  type Departure,
  type DepartureSource,
  type FleetChange,
  type FleetSnapshot,
  type OperatorState,
  type Revised,
} from './fleet-state.js';
