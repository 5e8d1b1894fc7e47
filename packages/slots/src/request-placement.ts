import { adapterKey } from '@canvasridge/serving';
import type { EngineEntry } from './engine-entry.js';
import { isCrowded, startDelayMs, type EngineSelector } from './engine-selector.js';
import type { AdapterSlot } from './engine-slots.js';
import { SPARE_SHARE, type LoadStarter } from './load-starter.js';
import type { DisabledMechanisms } from './mechanisms.js';
import type { PoolIndex } from './pool-index.js';
import type { SlotRequest } from './slot-request.js';
import type { WaitingList, WaitingRequest } from './waiting-list.js';

/** Backlog of an engine, as a fraction of the request's objective, above which a load on another engine is considered. */
const SHORT_BACKLOG_SHARE = 0.15;
/** Backlog, as a fraction of the objective, above which a request keeps waiting, as it can still get another engine. */
const LONG_BACKLOG_SHARE = 0.45;
/** The same limit for a request that is late in any case: it may only go where it delays few requests that are not. */
const LATE_BACKLOG_SHARE = 0.2;
/** How soon requests held back because of a long backlog are tried again. */
const BACKLOG_POLL_MS = 40;

export interface RequestPlacementOptions {
  readonly selector: EngineSelector;
  readonly loads: LoadStarter;
  readonly waiting: WaitingList;
  readonly disabled: DisabledMechanisms;
  /** Grants the request this engine, and the slot of its adapter unless it is for the base model. */
  readonly grant: (
    waiting: WaitingRequest,
    engine: EngineEntry,
    slot: AdapterSlot | undefined,
    nowMs: number,
  ) => void;
  /** Calls back after a delay, unless the pool is closed by then. */
  readonly after: (delayMs: number, action: () => void) => void;
  /** Tries to place all waiting requests. */
  readonly placeAll: () => void;
}

/** Decides what happens with a waiting request: a grant, a load of its adapter, or further waiting. */
export class RequestPlacement {
  readonly #options: RequestPlacementOptions;
  #isRetryScheduled = false;

  constructor(options: RequestPlacementOptions) {
    this.#options = options;
  }

  /** Grants a waiting request an engine if a suitable one is available. Otherwise orders a load where that helps. */
  place(waiting: WaitingRequest, index: PoolIndex, nowMs: number): void {
    const { selector, loads, grant, disabled } = this.#options;
    const { request } = waiting;
    const engine = selector.best(request, index, nowMs);
    if (request.adapter === undefined) {
      waiting.obstacle = 'no-engine';
      if (engine !== undefined) grant(waiting, engine, undefined, nowMs);
      else if (this.#waitsForRateLimit(request, index)) waiting.obstacle = 'rate-limit';
      return;
    }
    const slot = engine?.slots.get(adapterKey(request.model, request.adapter));
    const backlogMs = engine === undefined ? Infinity : startDelayMs(engine, nowMs);
    // A copy of the adapter on a second engine takes a slot from another adapter. It is made just to save time only
    // while enough slots are idle.
    const hasSpare = index.spareShare >= SPARE_SHARE || disabled.has('spare-copies');
    const copyAfterShare = hasSpare ? SHORT_BACKLOG_SHARE : LONG_BACKLOG_SHARE;
    const copyAfterMs = Math.min(request.objectiveMs * copyAfterShare, this.#maxBacklogMs(waiting, nowMs));
    const isShortBacklog = backlogMs <= copyAfterMs;
    if (engine !== undefined && isShortBacklog && !isCrowded(engine)) {
      grant(waiting, engine, slot, nowMs);
      return;
    }
    if (selector.isLoading(request, index)) waiting.obstacle = 'loading';
    else waiting.obstacle = loads.start(waiting, index, backlogMs);
    if (engine === undefined) {
      if (this.#waitsForRateLimit(request, index) && waiting.obstacle !== 'loading')
        waiting.obstacle = 'rate-limit';
      return;
    }
    if (backlogMs <= this.#maxBacklogMs(waiting, nowMs)) {
      grant(waiting, engine, slot, nowMs);
      return;
    }
    if (waiting.obstacle !== 'loading') waiting.obstacle = 'backlog';
    this.#scheduleRetry();
  }

  /**
   * Whether an engine that could run the request has reached its rate limit. If so, schedules another attempt, since no
   * event tells when the limit allows a request again.
   */
  #waitsForRateLimit(request: SlotRequest, index: PoolIndex): boolean {
    const isRateLimited = this.#options.selector.isRateLimited(request, index);
    if (isRateLimited) this.#scheduleRetry();
    return isRateLimited;
  }

  /** Longest backlog of an engine with which a request is still sent there. */
  #maxBacklogMs({ request, arrivedMs }: WaitingRequest, nowMs: number): number {
    const leftMs = this.#options.waiting.latestStartAgeMs(request) - (nowMs - arrivedMs);
    const lateLimitMs = request.objectiveMs * LATE_BACKLOG_SHARE;
    return Math.max(lateLimitMs, Math.min(leftMs, request.objectiveMs * LONG_BACKLOG_SHARE));
  }

  /** Schedules a placement run without an event: no event tells that a backlog shrank or a rate limit allows more. */
  #scheduleRetry(): void {
    if (this.#isRetryScheduled) return;
    this.#isRetryScheduled = true;
    this.#options.after(BACKLOG_POLL_MS, () => {
      this.#isRetryScheduled = false;
      this.#options.placeAll();
    });
  }
}
