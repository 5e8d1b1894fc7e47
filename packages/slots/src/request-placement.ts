import { adapterKey } from '@canvasridge/serving';
import { delaysStreams, expectedPauseMs } from './engine-cost.js';
import { isCrowded, startDelayMs, type EngineChoice, type EngineSelector } from './engine-selector.js';
import type { AdapterSlot } from './engine-slots.js';
import { SPARE_SHARE, type LoadPurpose, type LoadStarter } from './load-starter.js';
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
/** Fraction of its latest start age up to which a request waits to spare running streams a pause. */
const SPARE_STREAMS_SHARE = 0.3;
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
    choice: EngineChoice,
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
    const choice = selector.best(request, index, nowMs);
    const engine = choice?.entry;
    if (request.adapter === undefined) {
      waiting.obstacle = 'no-engine';
      if (choice !== undefined) grant(waiting, choice, undefined, nowMs);
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
    const sparesStreams = choice !== undefined && this.#maySpareStreams(waiting, choice, nowMs);
    const isNear = choice !== undefined && isShortBacklog && !isCrowded(choice.entry);
    if (isNear && !sparesStreams) {
      grant(waiting, choice, slot, nowMs);
      return;
    }
    if (selector.isLoading(request, index)) waiting.obstacle = 'loading';
    else if (isNear && !hasSpare) waiting.obstacle = 'backlog';
    else {
      const purpose = isNear ? 'spare-streams' : 'start-sooner';
      waiting.obstacle = loads.start(waiting, index, maxLoadCostMs(choice, backlogMs, purpose), purpose);
    }
    if (choice === undefined) {
      if (this.#waitsForRateLimit(request, index) && waiting.obstacle !== 'loading')
        waiting.obstacle = 'rate-limit';
      return;
    }
    const isHeld = sparesStreams && (waiting.obstacle === 'loading' || isDelayByBacklog(choice));
    if (!isHeld && backlogMs <= this.#maxBacklogMs(waiting, nowMs)) {
      grant(waiting, choice, slot, nowMs);
      return;
    }
    if (waiting.obstacle !== 'loading') waiting.obstacle = 'backlog';
    this.#scheduleRetry();
  }

  /** Whether the request is young enough to wait, as its prompt would make streams late that run on the engine. */
  #maySpareStreams({ request, arrivedMs }: WaitingRequest, { inputs }: EngineChoice, nowMs: number): boolean {
    const { disabled, waiting } = this.#options;
    if (disabled.has('stream-pauses') || !delaysStreams(inputs)) return false;
    return nowMs - arrivedMs <= waiting.latestStartAgeMs(request) * SPARE_STREAMS_SHARE;
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

/** Whether the streams are delayed by the queued prompts, so that waiting helps, rather than by the request's own. */
function isDelayByBacklog({ inputs }: EngineChoice): boolean {
  return expectedPauseMs({ ...inputs, backlogMs: 0 }) <= inputs.shortestGapMs;
}

/** What a load may cost: less than the best engine that has the adapter, or anything if none can take the request. */
function maxLoadCostMs(choice: EngineChoice | undefined, backlogMs: number, purpose: LoadPurpose): number {
  if (choice === undefined || backlogMs === Infinity) return Infinity;
  const { first, end, pauses } = choice.terms;
  return first + end + (purpose === 'spare-streams' ? pauses : 0);
}
