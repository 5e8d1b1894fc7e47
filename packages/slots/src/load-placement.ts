import type { AdapterPopularity } from './adapter-popularity.js';
import type { AdapterMemory } from './adapter-memory.js';
import { RUNNING_COST_MS } from './engine-selector.js';
import type { SwitchedOff } from './mechanisms.js';
import type { AdapterSlot, EngineSlots } from './engine-slots.js';

/** An engine that may load an adapter now, and the adapter that has to make way for it, if any. */
export interface LoadPlacement {
  readonly slots: EngineSlots;
  readonly victim: AdapterSlot | undefined;
  /** Whether the engine likely has the adapter in its memory. */
  readonly warm: boolean;
}

/** The request for which an adapter is to be loaded, and what is expected of loads now. */
export interface LoadRequest {
  readonly model: string;
  readonly key: string;
  readonly nowMs: number;
  readonly ageMs: number;
  /** Age at which the request has to be sent to an engine that is free, to meet its objective. */
  readonly latestStartAgeMs: number;
  /** Time after which the request could start on an engine that has the adapter; Infinity if none has it. */
  readonly maxStartDelayMs: number;
  /** Whether an engine likely has the adapter in memory. */
  readonly hasWarmEngine: boolean;
  /** Whether the weight store has room for one more fetch. */
  readonly mayFetch: boolean;
  /** Whether so many slots are idle that a fetch for a late request takes none from others. */
  readonly hasSpare: boolean;
  readonly coldLoadMs: number;
  readonly warmLoadMs: number;
  readonly disabled: SwitchedOff;
}

/** Part of the time within which it has to start for which a request waits for an engine that has its adapter in memory. */
const WARM_WAIT_SHARE = 0.5;
/** What is added to the cost of a place for each load under way there, in ms. */
const LOADING_COST_MS = 40;
const EVICTION_COST_MS = 25;
/** What is added for each ms of reading that the engine was given of late: where much was sent, more will come. */
const RECENT_WORK_COST = 0.15;

/**
 * Chooses where an adapter is loaded. An engine that likely has it in memory is best; a fetch from the weight
 * store is dear, so it is made only if no engine has the adapter, or if none of those gets a free slot in
 * time, and only if it still helps the request to meet its objective.
 */
export function placeLoad(
  candidates: readonly EngineSlots[],
  request: LoadRequest,
  popularity: AdapterPopularity,
  memory: AdapterMemory,
): LoadPlacement | undefined {
  let best: LoadPlacement | undefined;
  let bestCost = request.maxStartDelayMs;
  const mayFetch = isFetchWorthwhile(request);
  for (const slots of candidates) {
    const warm = !request.disabled.has('adapter-memory') && memory.has(slots.backend.id, request.key);
    if (!warm && !mayFetch) continue;
    const room = findRoom(slots, request, popularity);
    if (room === undefined) continue;
    const cost = costOf(slots, room.victim, warm, request, popularity);
    if (cost >= bestCost) continue;
    best = { slots, victim: room.victim, warm };
    bestCost = cost;
  }
  return best;
}

function isFetchWorthwhile(request: LoadRequest): boolean {
  if (!request.mayFetch) return false;
  const isLate = request.ageMs + request.coldLoadMs > request.latestStartAgeMs;
  if (isLate) return request.hasSpare;
  return !request.hasWarmEngine || request.ageMs >= request.latestStartAgeMs * WARM_WAIT_SHARE;
}

/** A free slot, or the idle adapter that gives way. Undefined if there is neither. */
function findRoom(
  slots: EngineSlots,
  request: LoadRequest,
  popularity: AdapterPopularity,
): { victim: AdapterSlot | undefined } | undefined {
  const present = slots.get(request.key);
  if (present === undefined && slots.hasRoomFor(request.model)) return { victim: undefined };
  const victim = present ?? leastDemanded(slots, popularity, request.nowMs);
  if (victim === undefined || !slots.isEvictable(victim, request.nowMs)) return undefined;
  return { victim };
}

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
): number {
  const loadMs = warm ? request.warmLoadMs : request.coldLoadMs;
  const evictionMs = victim === undefined ? 0 : Math.min(popularity.rate(victim.key), 4) * EVICTION_COST_MS;
  const busyMs = RUNNING_COST_MS * slots.running + LOADING_COST_MS * slots.loadingCount;
  // The engine reads the prompts ahead while it loads.
  const recentMs = request.disabled.has('recent-work')
    ? 0
    : RECENT_WORK_COST * slots.backlog.recentWorkMs(request.nowMs);
  const aheadMs = slots.backlog.remainingMs(request.nowMs);
  const startMs = request.disabled.has('overlapped-load') ? loadMs + aheadMs : Math.max(loadMs, aheadMs);
  return startMs + evictionMs + busyMs + recentMs;
}
