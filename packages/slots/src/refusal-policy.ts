import type { Clock } from '@canvasridge/clock';
import { backlogMs, type EngineChoice } from './engine-choice.js';
import type { EngineRegistry } from './engine-registry.js';
import type { SwitchedOff } from './mechanisms.js';
import type { PoolIndex } from './pool-index.js';
import type { RefusalReason, SlotRequest } from './slot-request.js';
import type { SlotTurnover } from './slot-turnover.js';
import type { WaitingList, WaitingRequest } from './waiting-list.js';

export interface RefusalPolicyOptions {
  readonly clock: Clock;
  readonly engines: EngineRegistry;
  readonly choice: EngineChoice;
  readonly waiting: WaitingList;
  readonly turnover: SlotTurnover;
  readonly index: () => PoolIndex;
  /** Present guess of how long a fetch from the weight store takes, in milliseconds. */
  readonly coldLoadMs: () => number;
  /** Calls back after a time, unless the pool was closed meanwhile. */
  readonly after: (delayMs: number, action: () => void) => void;
  /** Ends the wait of a request that was taken off the list. */
  readonly refuse: (waiting: WaitingRequest, reason: RefusalReason, retryAfterMs: number) => void;
  readonly off: SwitchedOff;
}

/** A refusal has to be known to the client within this part of its objective. */
const EARLY_REFUSAL_SHARE = 0.2;
/** Part of its time after which a request is given up if it is not likely to run in what is left. */
const HALFWAY_SHARE = 0.45;
/** Part of its time after which a request that still waits is given up: what is left has to be of use elsewhere. */
const LONGEST_WAIT_SHARE = 0.48;
/** A wait is short if it takes up to this part of what is left of a request's time. */
const SOON_SHARE = 0.5;
/** When a client comes back that was refused for want of an engine, or late. */
const RETRY_WITHOUT_ENGINE_MS = 1000;

/** Decides when a request that waits is refused: early if it can't be in time, or before half of its time is over. */
export class RefusalPolicy {
  readonly #options: RefusalPolicyOptions;

  constructor(options: RefusalPolicyOptions) {
    this.#options = options;
  }

  /** Looks at a request that began to wait at the moments at which it may have to be refused. */
  watch(request: SlotRequest): void {
    const { after } = this.#options;
    const untilEarlyMs = request.objectiveMs * EARLY_REFUSAL_SHARE - request.ageMs;
    after(Math.max(untilEarlyMs, 1), () => this.#refuseIfHopeless(request.id));
    this.#afterAge(request, HALFWAY_SHARE, () => this.#giveUpIfHopeless(request.id));
    this.#afterAge(request, LONGEST_WAIT_SHARE, () => this.#giveUp(request.id));
  }

  /** Calls back when a part of the time in which a request has to start is over. */
  #afterAge(request: SlotRequest, share: number, action: () => void): void {
    this.#options.after(Math.max(request.startWithinMs * share - request.ageMs, 1), action);
  }

  /** Refuses a request while that is early enough, if it is not likely to get a slot within its objective. */
  #refuseIfHopeless(requestId: string): void {
    const { clock, engines, choice, waiting: list, index, off, refuse } = this.#options;
    const waiting = list.get(requestId);
    if (waiting === undefined || waiting.returned || off.has('early-refusal')) return;
    const { request } = waiting;
    if (!engines.serves(request.model)) {
      list.remove(requestId);
      refuse(waiting, 'no-engine', RETRY_WITHOUT_ENGINE_MS);
      return;
    }
    if (choice.isLoading(request, index())) return;
    const waitMs = this.#expectedWaitMs(waiting);
    if (clock.now() - waiting.arrivedMs + waitMs <= list.startWithinMs(request)) return;
    list.remove(requestId);
    refuse(waiting, 'no-slot-in-time', waitMs);
  }

  /**
   * Gives a late request up while the client still has time for another attempt, unless its turn comes soon.
   * To hold it to its end and fail then is the worst for the client.
   */
  #giveUpIfHopeless(requestId: string): void {
    const { choice, waiting: list, index } = this.#options;
    const waiting = list.get(requestId);
    if (waiting === undefined) return;
    const { request } = waiting;
    if (choice.isLoading(request, index())) return;
    const leftMs = request.startWithinMs * (LONGEST_WAIT_SHARE - HALFWAY_SHARE);
    if (this.#expectedWaitMs(waiting) > leftMs * SOON_SHARE) this.#giveUp(requestId);
  }

  #giveUp(requestId: string): void {
    const { waiting: list, refuse } = this.#options;
    const waiting = list.remove(requestId);
    if (waiting !== undefined) refuse(waiting, 'no-slot-in-time', RETRY_WITHOUT_ENGINE_MS);
  }

  /** How long until a request that waits can start: at an engine that has its adapter, or after a load. */
  #expectedWaitMs(waiting: WaitingRequest): number {
    const { clock, engines, choice, waiting: list, turnover, index, coldLoadMs } = this.#options;
    const nowMs = clock.now();
    const engine = choice.best(waiting.request, index(), nowMs);
    const backlogEndsMs = engine === undefined ? Infinity : backlogMs(engine, nowMs);
    const before = list.inOrder(nowMs).indexOf(waiting);
    const turnMs = (before + 1) * turnover.meanGapMs();
    const loadedMs = Math.max(turnMs, engines.untilFirstOrderMs()) + coldLoadMs();
    return Math.min(backlogEndsMs, loadedMs);
  }
}
