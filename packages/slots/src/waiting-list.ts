import type { SwitchedOff } from './mechanisms.js';
import type { SlotDecision, SlotRequest } from './slot-request.js';

/** Part of the objective that is kept for the way of the first event, and for what is not foreseen. */
const RETURN_SHARE = 0.12;
/** A request whose prompt takes nearly its whole objective to be read still has this part of it to be started. */
const LEAST_START_SHARE = 0.25;

/** A request of one priority lower may start this much later than others that arrived with it. */
const PRIORITY_STEP_MS = 60;
/** One that comes back after a refusal goes this much before others: a second refusal costs more. */
const RETURNED_BONUS_MS = 150;

/** A request that waits for a slot. */
export interface WaitingRequest {
  readonly request: SlotRequest;
  /** Arrival of the client's request on this node's clock. */
  readonly arrivedMs: number;
  /** It was refused before; a second refusal would be worse than a late answer. */
  readonly returned: boolean;
  readonly decide: (decision: SlotDecision) => void;
  /** Why it was not given an engine when it was last looked at. */
  obstacle: WaitObstacle;
}

/**
 * What a request waits for: `loading`: its adapter, which is on its way; `backlog`: an engine that has it and is
 * behind; `no-room`: a slot, as no engine can take another adapter; `too-late`: an adapter that is not fetched,
 * since that would take too long or another engine has it in memory; `fetch-limit`: other fetches to end.
 */
export type WaitObstacle =
  'none' | 'no-engine' | 'loading' | 'backlog' | 'no-room' | 'too-late' | 'fetch-limit';

/**
 * Requests that wait, most urgent first: those that can still meet their objective before those that cannot,
 * each by the moment until which it has to start. Priority shifts that moment only a little: with strict
 * priority the long streams of one kind took all slots, and a kind of short ones waited until it was late.
 */
export class WaitingList {
  readonly #byId = new Map<string, WaitingRequest>();
  readonly #readMs: (tokens: number) => number;
  readonly #off: SwitchedOff;

  /** @param readMs how long a prompt of a length takes to be read */
  constructor(readMs: (tokens: number) => number, off: SwitchedOff = new Set()) {
    this.#readMs = readMs;
    this.#off = off;
  }

  get size(): number {
    return this.#byId.size;
  }

  add(waiting: WaitingRequest): void {
    this.#byId.set(waiting.request.id, waiting);
  }

  remove(id: string): WaitingRequest | undefined {
    const waiting = this.#byId.get(id);
    this.#byId.delete(id);
    return waiting;
  }

  get(id: string): WaitingRequest | undefined {
    return this.#byId.get(id);
  }

  inOrder(nowMs: number): WaitingRequest[] {
    const rows = [...this.#byId.values()].map((waiting) => ({
      waiting,
      late: this.#isLate(waiting, nowMs) ? 1 : 0,
      startByMs: this.#startByMs(waiting),
    }));
    rows.sort(
      (a, b) =>
        a.late - b.late ||
        a.startByMs - b.startByMs ||
        a.waiting.request.priority - b.waiting.request.priority,
    );
    return rows.map(({ waiting }) => waiting);
  }

  /** Age at which a request has to be sent to an engine that is free, to meet its objective. */
  startWithinMs({ objectiveMs, promptTokens }: SlotRequest): number {
    const latestMs = objectiveMs * (1 - RETURN_SHARE) - this.#readMs(promptTokens);
    return Math.max(latestMs, objectiveMs * LEAST_START_SHARE);
  }

  all(): WaitingRequest[] {
    return [...this.#byId.values()];
  }

  #isLate({ request, arrivedMs }: WaitingRequest, nowMs: number): boolean {
    return !this.#off.has('late-last') && nowMs - arrivedMs > this.startWithinMs(request);
  }

  /** Moment until which a request has to start, moved by its urgency. */
  #startByMs({ request, arrivedMs, returned }: WaitingRequest): number {
    const bonusMs = returned && !this.#off.has('returned-first') ? RETURNED_BONUS_MS : 0;
    return arrivedMs + this.startWithinMs(request) + request.priority * PRIORITY_STEP_MS - bonusMs;
  }
}
