import type { Clock } from '@canvasridge/clock';
import { startDelayMs, type EngineSelector } from './engine-selector.js';
import type { EngineRegistry } from './engine-registry.js';
import type { SwitchedOff } from './mechanisms.js';
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
  /** Present guess of how long a fetch from the weight store takes, in milliseconds. */
  readonly coldLoadMs: () => number;
  /** Fetches from the weight store that may be under way at the same time. */
  readonly fetchWindow: () => number;
  /** Calls back after a time, unless the pool was closed meanwhile. */
  readonly after: (delayMs: number, action: () => void) => void;
  /** Ends the wait of a request that was taken off the list. */
  readonly refuse: (waiting: WaitingRequest, reason: RefusalReason, retryAfterMs: number) => void;
  readonly disabled: SwitchedOff;
}

/** How often those that wait are looked at: a refusal is known to its client a few hundredths of an objective later. */
const CHECK_PERIOD_MS = 40;
/** Engines that left the list may be back within this time, as after a moment in which the list was read anew. */
const NO_ENGINE_GRACE_MS = 200;
/** When a client comes back for which no engine serves the model: what it waits for tells no time. */
const RETRY_WITHOUT_ENGINE_MS = 1000;
/** The same where engines serve it and the request may be given to none of them: it comes again as a new one. */
const RETRY_AFTER_EXCLUSION_MS = 300;
/** A client is told no longer time than this: what is foreseen beyond it is a guess. */
const MAX_RETRY_AFTER_MS = 5000;

/**
 * Refuses a request as soon as it is known that it can't begin in the time that its client waits, and no other: a late
 * answer reaches a client sooner than a refusal and a second try. Nothing goes by a part of the objective. What is
 * foreseen is the time until its turn, by how fast slots become idle or fetches end, and the load after it.
 */
export class RefusalPolicy {
  readonly #options: RefusalPolicyOptions;
  #isCheckScheduled = false;

  constructor(options: RefusalPolicyOptions) {
    this.#options = options;
  }

  /** A request began to wait. */
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
   * @param aheadCount requests whose turn comes first
   * @param gapMs time between two loads that can begin
   */
  #refuseIfUnattainable(waiting: WaitingRequest, aheadCount: number, gapMs: number, nowMs: number): boolean {
    const { engines, selector, waiting: list, index, refuse, disabled } = this.#options;
    const { request } = waiting;
    const ageMs = nowMs - waiting.arrivedMs;
    const leftMs = request.startWithinMs - ageMs;
    const turnMs = (aheadCount + 1) * gapMs;
    if (!engines.servesRequest(request) && ageMs >= NO_ENGINE_GRACE_MS) {
      list.remove(request.id);
      // Its node must use none of the engines that serve the model; another node may.
      const isServed = engines.serves(request.model);
      refuse(waiting, 'no-engine', isServed ? RETRY_AFTER_EXCLUSION_MS : RETRY_WITHOUT_ENGINE_MS);
      return true;
    }
    if (leftMs > 0 && (disabled.has('early-refusal') || selector.isLoading(request, index()))) return false;
    const rateTurnMs = ((aheadCount + 1) / (engines.ratePerSecond(request) ?? Infinity)) * 1000;
    const waitMs = Math.max(this.#expectedWaitMs(waiting, turnMs, nowMs), rateTurnMs);
    if (waitMs <= leftMs) return false;
    list.remove(request.id);
    refuse(waiting, 'no-slot-in-time', Math.min(waitMs, MAX_RETRY_AFTER_MS));
    return true;
  }

  /** How long until a request that waits can start: at an engine that has its adapter, or after a load. */
  #expectedWaitMs(waiting: WaitingRequest, turnMs: number, nowMs: number): number {
    const { engines, selector, index, coldLoadMs } = this.#options;
    const engine = selector.best(waiting.request, index(), nowMs);
    const backlogEndsMs = engine === undefined ? Infinity : startDelayMs(engine, nowMs);
    if (waiting.request.adapter === undefined) return backlogEndsMs;
    const loadedMs = Math.max(turnMs, engines.untilOrdersPossibleMs()) + coldLoadMs();
    return Math.min(backlogEndsMs, loadedMs);
  }

  /** Time between two loads that can begin: where slots are idle, as fetches end; else as slots become idle. */
  #loadIntervalMs(oldestArrivalMs: number, nowMs: number): number {
    const { turnover, index, coldLoadMs, fetchWindow } = this.#options;
    const fetchGapMs = coldLoadMs() / fetchWindow();
    return index().spareShare > 0
      ? fetchGapMs
      : Math.max(fetchGapMs, turnover.currentGapMs(oldestArrivalMs, nowMs));
  }
}
