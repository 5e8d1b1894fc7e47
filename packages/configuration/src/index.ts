/** Configuration revisions: their format, checks, plans and distribution. */
export {
  HEAD_KEY,
  chunkKey,
  headSchema,
  type RevisionHead,
  splitConfiguration,
  joinConfiguration,
  planDigest,
  buildPublication,
  type Publication,
  type RevisionError,
  GENESIS,
} from './revision.js';
export { planChange, type Plan, type PlanStep, type FleetView, type LoadedAdapters } from './plan.js';
export { checkIntent, type IntentProblem } from './intent-check.js';
export { formatPlan } from './plan-text.js';
export {
  ConfigurationFollower,
  type FollowerOptions,
  type PeerConfigurationSource,
} from './configuration-follower.js';
export { RevisionStore, type AcceptOutcome, revisionStamp, revisionOfStamp } from './revision-store.js';
