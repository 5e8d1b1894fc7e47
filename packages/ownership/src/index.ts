/** Decides which node owns each engine, that is, may send it orders, and maintains the leases for it. */
export { assignOwners } from './desired-owner.js';
export { EngineOwnership, type EngineOwnershipOptions, type TakeoverState } from './engine-ownership.js';
export {
  OwnershipManager,
  type OwnershipManagerOptions,
  releaseParams,
  grantParams,
  ungrantParams,
} from './ownership-manager.js';
export { WitnessTable, chooseWitnesses } from './witness-table.js';
export { DEFAULT_OWNERSHIP_TIMING, type OwnershipTiming } from './timing.js';
