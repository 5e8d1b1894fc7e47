import type { AdapterPopularity } from './adapter-popularity.js';
import { engineCost, totalMs } from './engine-cost.js';
import type { EngineCosts } from './engine-costs.js';
import type { HostMemory } from './host-memory.js';
import type { DisabledMechanisms } from './mechanisms.js';
import type { AdapterSlot, EngineSlots } from './engine-slots.js';
import { chooseFirstLowest, type Candidate } from './lowest-cost.js';
import type { SlotRequest } from './slot-request.js';

/** The engine on which to load an adapter. */
export interface LoadPlacement {
  readonly slots: EngineSlots;
  /** The adapter to evict first, if any. */
  readonly victim: AdapterSlot | undefined;
  /** Whether the engine likely has the adapter in its host memory. */
  readonly warm: boolean;
}

/** A request to load an adapter for a waiting request, with the current load estimates. */
export interface LoadRequest {
  readonly request: SlotRequest;
  readonly key: string;
  readonly nowMs: number;
  /** Age of the waiting request. */
  readonly ageMs: number;
  /** Age at which the waiting request has to be sent to an idle engine at the latest to meet its objective. */
  readonly latestStartAgeMs: number;
  /**
   * The cost of a load must be below this: the cost of the best engine that has the adapter; Infinity if there is none.
   */
  readonly maxCostMs: number;
  /** Whether an engine likely has the adapter in its host memory. */
  readonly hasWarmEngine: boolean;
  /** Whether one more fetch from the weight store may start. */
  readonly mayFetch: boolean;
  /** Whether enough slots are spare that a fetch for a late request takes no slot from others. */
  readonly hasSpare: boolean;
  readonly coldLoadMs: number;
  readonly warmLoadMs: number;
  readonly disabled: DisabledMechanisms;
}

/** Fraction of its latest start age for which a request waits for an engine that has its adapter in host memory. */
const WARM_WAIT_SHARE = 0.5;

/**
 * Selects the engine with the lowest cost to load an adapter on, or undefined. An engine that likely has the adapter in
 * host memory is best. A fetch from the weight store is expensive, so it is made only if no engine has the adapter in host
 * memory or none of those gets a free slot in time, and only if the request can then still meet its objective or enough
 * slots are spare.
 */
export function placeLoad(
  candidates: readonly EngineSlots[],
  request: LoadRequest,
  popularity: AdapterPopularity,
  memory: Pick<HostMemory, 'isWorthTrying'>,
  costs: EngineCosts,
): LoadPlacement | undefined {
  const placements: (LoadPlacement & Candidate)[] = [];
  const mayFetch = isFetchWorthwhile(request);
  for (const slots of candidates) {
    const warm =
      !request.disabled.has('adapter-memory') && memory.isWorthTrying(slots.backend.id, request.key);
    if (!warm && !mayFetch) continue;
    const room = findRoom(slots, request, popularity);
    if (room === undefined) continue;
    const costMs = costOf(slots, room.victim, warm, request, popularity, costs);
    if (costMs >= request.maxCostMs) continue;
    placements.push({ slots, victim: room.victim, warm, costMs, lastChosenMs: slots.lastChosenMs });
  }
  return chooseFirstLowest(placements);
}

function isFetchWorthwhile(request: LoadRequest): boolean {
  if (!request.mayFetch) return false;
  const isLate = request.ageMs + request.coldLoadMs > request.latestStartAgeMs;
  if (isLate) return request.hasSpare;
  return !request.hasWarmEngine || request.ageMs >= request.latestStartAgeMs * WARM_WAIT_SHARE;
}

/** Finds a free slot or an adapter to evict. Returns undefined if there is neither. */
function findRoom(
  slots: EngineSlots,
  request: LoadRequest,
  popularity: AdapterPopularity,
): { victim: AdapterSlot | undefined } | undefined {
  const present = slots.get(request.key);
  if (present === undefined && slots.hasRoomFor(request.request.model)) return { victim: undefined };
  const victim = present ?? leastDemanded(slots, popularity, request.nowMs);
  if (victim === undefined || !slots.isEvictable(victim, request.nowMs)) return undefined;
  return { victim };
}

/** Returns the evictable adapter with the lowest request rate; among equals, the least recently used one. */
function leastDemanded(
  slots: EngineSlots,
  popularity: AdapterPopularity,
  nowMs: number,
): AdapterSlot | undefined {
  let best: AdapterSlot | undefined;
  let bestRate = Infinity;
  for (const slot of slots.slots.values()) {
    if (!slots.isEvictable(slot, nowMs)) continue;
    const rate = popularity.rate(slot.key);
    const isOlder = best !== undefined && rate === bestRate && slot.lastUsedMs < best.lastUsedMs;
    if (rate >= bestRate && !isOlder) continue;
    best = slot;
    bestRate = rate;
  }
  return best;
}

function costOf(
  slots: EngineSlots,
  victim: AdapterSlot | undefined,
  warm: boolean,
  request: LoadRequest,
  popularity: AdapterPopularity,
  costs: EngineCosts,
): number {
  const loadMs = warm ? request.warmLoadMs : request.coldLoadMs;
  const evictedRate = victim === undefined ? 0 : popularity.rate(victim.key);
  const inputs = costs.forLoad(slots, request.request, { loadMs, evictedRate }, request.nowMs);
  return totalMs(engineCost(inputs, request.disabled));
}
