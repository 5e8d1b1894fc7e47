/**
 * Placement of adapters and owners by rendezvous hashing, eviction, load scheduling, and the cost of routes.
 */
export { hash32, rendezvousScore, mixScores, rankByRendezvous, highestRendezvous } from './rendezvous.js';
export { AdapterCandidates } from './adapter-candidates.js';
export { DemandTracker } from './demand-tracker.js';
export { chooseVictim, type EvictionCandidate } from './eviction.js';
export { estimateSeconds, chooseEngine, type RouteCandidate, type RouteEstimate } from './route-cost.js';
export { LoadQueue, type LoadGrant, type LoadGrantRequest } from './load-queue.js';
