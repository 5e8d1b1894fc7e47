import type { Clock } from '@canvasridge/clock';
import { startDelayMs, type EngineSelector } from './engine-selector.js';
import type { EngineRegistry } from './engine-registry.js';
import type { DisabledMechanisms } from './mechanisms.js';
import type { PoolIndex } from './pool-index.js';
import type { RefusalReason } from './slot-request.js';
import type { SlotTurnover } from './slot-turnover.js';
import type { WaitingList, WaitingRequest } from './waiting-list.js';

export interface RefusalPolicyOptions {
  readonly clock: Clock;
  readonly engines: EngineRegistry;
  readonly selector: EngineSelector;
  readonly waiting: WaitingList;
  readonly turnover: SlotTurnover;
  readonly index: () => PoolIndex;
  /** Current estimate of how long a fetch from the weight store takes, in milliseconds. */
  readonly coldLoadMs: () => number;
  /** Maximum number of concurrent fetches from the weight store. */
  readonly fetchWindow: () => number;
  /** Calls back after a delay, unless the pool is closed by then. */
  readonly after: (delayMs: number, action: () => void) => void;
  /** Refuses a request that was removed from the waiting list. */
  readonly refuse: (waiting: WaitingRequest, reason: RefusalReason, retryAfterMs: number) => void;
  readonly disabled: DisabledMechanisms;
}

/** How often waiting requests are checked. It delays a refusal by a few hundredths of an objective at most. */
const CHECK_PERIOD_MS = 40;
/** Engines that left the published list may be back within this time, for example while the list is re-read. */
const NO_ENGINE_GRACE_MS = 200;
/** Retry delay if no engine serves the model, in which case the actual wait can't be estimated. */
const RETRY_WITHOUT_ENGINE_MS = 1000;
/** Retry delay if engines serve the model but the request excludes all of them. The retry is a new request. */
const RETRY_AFTER_EXCLUSION_MS = 300;
/** Longest retry delay given to a client, because estimates beyond it are unreliable. */
const MAX_RETRY_AFTER_MS = 5000;

/**
 * Refuses a waiting request as soon as it is estimated that it can't start within the time its client waits. No other
 * request is refused, not even a late one: a late response reaches a client sooner than a refusal and a retry, so the
 * objective plays no part. The estimate adds the time until the request's turn, from how fast slots become idle or
 * fetches end, and the load after it.
 */
export class RefusalPolicy {
  readonly #options: RefusalPolicyOptions;
  #isCheckScheduled = false;

  constructor(options: RefusalPolicyOptions) {
    this.#options = options;
  }

  /** Schedules the next check, which repeats while any request waits. Called when a request starts to wait. */
  scheduleCheck(): void {
    if (this.#isCheckScheduled) return;
    this.#isCheckScheduled = true;
    this.#options.after(CHECK_PERIOD_MS, () => {
      this.#isCheckScheduled = false;
      this.#refuseUnattainable();
      if (this.#options.waiting.size > 0) this.scheduleCheck();
    });
  }

  #refuseUnattainable(): void {
    const { clock, waiting: list } = this.#options;
    const nowMs = clock.now();
    const inOrder = list.inOrder(nowMs);
    const oldestArrivalMs = inOrder.reduce((first, { arrivedMs }) => Math.min(first, arrivedMs), nowMs);
    const gapMs = this.#loadIntervalMs(oldestArrivalMs, nowMs);
    let aheadCount = 0;
    for (const waiting of inOrder) {
      if (!this.#refuseIfUnattainable(waiting, aheadCount, gapMs, nowMs)) aheadCount += 1;
    }
  }

  /**
   * Returns whether the request was refused.
   * @param aheadCount number of waiting requests before this one
   * @param gapMs mean time between two loads that can begin
   */
  #refuseIfUnattainable(waiting: WaitingRequest, aheadCount: number, gapMs: number, nowMs: number): boolean {
    const { engines, selector, waiting: list, index, refuse, disabled } = this.#options;
    const { request } = waiting;
    const ageMs = nowMs - waiting.arrivedMs;
    const leftMs = request.startWithinMs - ageMs;
    const turnMs = (aheadCount + 1) * gapMs;
    if (!engines.servesRequest(request) && ageMs >= NO_ENGINE_GRACE_MS) {
      list.unserved(request.id, nowMs);
      // The model may be served only by engines that this request's node must not use. A retry through another node can
      // reach them.
      const isServed = engines.serves(request.model);
      refuse(waiting, 'no-engine', isServed ? RETRY_AFTER_EXCLUSION_MS : RETRY_WITHOUT_ENGINE_MS);
      return true;
    }
    if (leftMs > 0 && (disabled.has('early-refusal') || selector.isLoading(request, index()))) return false;
    const rateTurnMs = ((aheadCount + 1) / (engines.ratePerSecond(request) ?? Infinity)) * 1000;
    const waitMs = Math.max(this.#expectedWaitMs(waiting, turnMs, nowMs), rateTurnMs);
    if (waitMs <= leftMs) return false;
    list.unserved(request.id, nowMs);
    refuse(waiting, 'no-slot-in-time', Math.min(waitMs, MAX_RETRY_AFTER_MS));
    return true;
  }

  /** Estimated time until a waiting request can start, on an engine that has its adapter or after a load. */
  #expectedWaitMs(waiting: WaitingRequest, turnMs: number, nowMs: number): number {
    const { engines, selector, index, coldLoadMs } = this.#options;
    const engine = selector.best(waiting.request, index(), nowMs);
    const backlogEndsMs = engine === undefined ? Infinity : startDelayMs(engine.entry, nowMs);
    if (waiting.request.adapter === undefined) return backlogEndsMs;
    const loadedMs = Math.max(turnMs, engines.untilOrdersPossibleMs()) + coldLoadMs();
    return Math.min(backlogEndsMs, loadedMs);
  }

  /** Time between two loads that can begin. It is limited by fetches, and if no slot is spare, also by slots becoming idle. */
  #loadIntervalMs(oldestArrivalMs: number, nowMs: number): number {
    const { turnover, index, coldLoadMs, fetchWindow } = this.#options;
    const fetchGapMs = coldLoadMs() / fetchWindow();
    return index().spareShare > 0
      ? fetchGapMs
      : Math.max(fetchGapMs, turnover.currentGapMs(oldestArrivalMs, nowMs));
  }
}
