/** What a node knows about an engine when it chooses one for a request. */
export interface RouteCandidate {
  readonly engineId: string;
  /** Whether the adapter is loaded on the engine, is being loaded, or neither. */
  readonly adapter: 'loaded' | 'loading' | 'absent';
  readonly running: number;
  readonly queued: number;
  readonly maxBatch: number;
  /** Number of slots that are empty or hold an idle adapter. */
  readonly reclaimableSlots: number;
  /** Position in the rendezvous ranking of the adapter's candidates, starting at 0. */
  readonly rank: number;
  readonly sameZone: boolean;
}

/** Estimated delays of a request on one engine. */
export interface RouteEstimate {
  /** Expected seconds until the first token. */
  readonly waitSeconds: number;
  /** Expected seconds until the adapter is loaded. */
  readonly stallSeconds: number;
}

/** Durations on which estimates are based, measured by the node while it runs. */
export interface RouteTimings {
  /**
   * Duration of one adapter load in seconds, from the decision to load until the adapter is ready, including
   * the waits for a grant and a slot, and retries.
   */
  readonly loadSeconds: number;
  /** Number of loads waiting for the weight store times the interval between two loads, in seconds. */
  readonly loadQueueSeconds: number;
  /** Mean duration of a generation, in seconds. */
  readonly serviceSeconds: number;
}

/** Extra time to the first token on an engine in another zone. */
const CROSS_ZONE_SECONDS = 0.003;
/** Extra time to load an adapter on an engine without a reclaimable slot. */
const SLOT_WAIT_SECONDS = 0.5;

/** Estimates the wait for the first token on one engine. */
export function estimateSeconds(engine: RouteCandidate, times: RouteTimings): RouteEstimate {
  const excessRequests = Math.max(0, engine.running + engine.queued + 1 - engine.maxBatch);
  const queueSeconds = (excessRequests * times.serviceSeconds) / engine.maxBatch;
  const stallSeconds = expectedStall(engine, times);
  const zoneSeconds = engine.sameZone ? 0 : CROSS_ZONE_SECONDS;
  return { waitSeconds: Math.max(queueSeconds, stallSeconds) + zoneSeconds, stallSeconds };
}

function expectedStall(engine: RouteCandidate, times: RouteTimings): number {
  switch (engine.adapter) {
    case 'loaded':
      return 0;
    case 'loading':
      return times.loadSeconds / 2;
    case 'absent':
      return (
        times.loadSeconds + times.loadQueueSeconds + (engine.reclaimableSlots > 0 ? 0 : SLOT_WAIT_SECONDS)
      );
  }
}

/**
 * Chooses the engine with the lowest cost. With `stallWeight` 1, emptier engines cost less, so that requests
 * spread. Towards 0, engines with emptier batches cost more, so that requests are concentrated in full
 * batches.
 */
export function chooseEngine(
  engines: readonly RouteCandidate[],
  times: RouteTimings,
  stallWeight: number,
): RouteCandidate | undefined {
  let best: RouteCandidate | undefined;
  let bestCost = Infinity;
  for (const engine of engines) {
    const cost = routeCost(engine, times, stallWeight);
    if (cost >= bestCost) continue;
    best = engine;
    bestCost = cost;
  }
  return best;
}

/** Maximum cost that the occupancy of the batch adds to a route. */
const OCCUPANCY_SECONDS = 0.1;
/** Cost of each position in the rendezvous ranking if the adapter must be loaded. */
const RANK_SECONDS = 0.02;

function routeCost(engine: RouteCandidate, times: RouteTimings, stallWeight: number): number {
  const { waitSeconds } = estimateSeconds(engine, times);
  const occupancy = Math.min(1, (engine.running + engine.queued) / engine.maxBatch);
  const emptyBatchCost = (1 - stallWeight) * OCCUPANCY_SECONDS * (1 - occupancy);
  const fullBatchCost = stallWeight * OCCUPANCY_SECONDS * occupancy;
  // Later candidates cost slightly more, so that replicas are created only if the first candidates are busy.
  const rank = engine.adapter === 'absent' ? engine.rank * RANK_SECONDS : 0;
  return waitSeconds + emptyBatchCost + fullBatchCost + rank;
}
