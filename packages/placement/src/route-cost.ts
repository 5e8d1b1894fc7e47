/** What a node knows of an engine when it chooses one for a request. */
export interface EngineOutlook {
  readonly engineId: string;
  /** Whether the adapter is there, on its way there, or neither. */
  readonly adapter: 'loaded' | 'loading' | 'absent';
  readonly running: number;
  readonly queued: number;
  readonly maxBatch: number;
  /** Slots that are empty or hold an idle adapter. */
  readonly reclaimableSlots: number;
  /** Position among the adapter's candidates by rendezvous, 0 the first. */
  readonly rank: number;
  readonly sameZone: boolean;
}

export interface RouteEstimate {
  /** Expected seconds until the first token. */
  readonly waitSeconds: number;
  /** The part of it that is an adapter load. */
  readonly stallSeconds: number;
}

/** Times that estimates start from, measured by the node while it runs. */
export interface RouteTimes {
  /** One adapter load, from order to ready, in seconds. */
  readonly loadSeconds: number;
  /** Loads waiting for the weight store times the gap between two, in seconds. */
  readonly loadQueueSeconds: number;
  /** Mean length of a generation, in seconds. */
  readonly serviceSeconds: number;
}

const ZONE_HOP_SECONDS = 0.003;
const BUSY_SLOT_SECONDS = 0.5;

/** Expected wait on one engine. */
export function estimateSeconds(engine: EngineOutlook, times: RouteTimes): RouteEstimate {
  const beyondBatch = Math.max(0, engine.running + engine.queued + 1 - engine.maxBatch);
  const queueSeconds = (beyondBatch * times.serviceSeconds) / engine.maxBatch;
  const stallSeconds = expectedStall(engine, times);
  const zoneSeconds = engine.sameZone ? 0 : ZONE_HOP_SECONDS;
  return { waitSeconds: Math.max(queueSeconds, stallSeconds) + zoneSeconds, stallSeconds };
}

function expectedStall(engine: EngineOutlook, times: RouteTimes): number {
  switch (engine.adapter) {
    case 'loaded':
      return 0;
    case 'loading':
      return times.loadSeconds / 2;
    case 'absent':
      return (
        times.loadSeconds + times.loadQueueSeconds + (engine.reclaimableSlots > 0 ? 0 : BUSY_SLOT_SECONDS)
      );
  }
}

/**
 * The engine with the least cost. `stallWeight` 1 counts expected seconds alone; towards 0, an engine
 * whose batch is emptier counts as dearer, so that requests gather in full batches.
 */
export function chooseEngine(
  engines: readonly EngineOutlook[],
  times: RouteTimes,
  stallWeight: number,
): EngineOutlook | undefined {
  let best: EngineOutlook | undefined;
  let bestCost = Infinity;
  for (const engine of engines) {
    const cost = routeCost(engine, times, stallWeight);
    if (cost >= bestCost) continue;
    best = engine;
    bestCost = cost;
  }
  return best;
}

const GATHERING_SECONDS = 0.1;
const RANK_SECONDS = 0.02;

function routeCost(engine: EngineOutlook, times: RouteTimes, stallWeight: number): number {
  const { waitSeconds } = estimateSeconds(engine, times);
  const occupancy = Math.min(1, (engine.running + engine.queued) / engine.maxBatch);
  const gathering = (1 - stallWeight) * GATHERING_SECONDS * (1 - occupancy);
  const spreading = stallWeight * GATHERING_SECONDS * occupancy;
  // Lower ranks cost a little, so that replicas form only where the first candidates are busy.
  const rank = engine.adapter === 'absent' ? engine.rank * RANK_SECONDS : 0;
  return waitSeconds + gathering + spreading + rank;
}
