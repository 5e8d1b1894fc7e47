import type { SlotDecision, SlotRequest } from './slot-request.js';

/** Part of the objective after which a request that still waits misses it: the engine has yet to read its prompt. */
export const USEFUL_SHARE = 0.62;

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
}

/**
 * Requests that wait, most urgent first: those that can still meet their objective before those that cannot,
 * each by the moment until which it has to start. Priority shifts that moment only a little: with strict
 * priority the long streams of one kind took all slots, and a kind of short ones waited until it was late.
 */
export class WaitingList {
  readonly #byId = new Map<string, WaitingRequest>();

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
    const isLate = (entry: WaitingRequest): number =>
      nowMs - entry.arrivedMs > entry.request.objectiveMs * USEFUL_SHARE ? 1 : 0;
    return [...this.#byId.values()].sort(
      (a, b) =>
        isLate(a) - isLate(b) || startByMs(a) - startByMs(b) || a.request.priority - b.request.priority,
    );
  }

  all(): WaitingRequest[] {
    return [...this.#byId.values()];
  }
}

/** Moment until which a request has to start. */
function startByMs({ request, arrivedMs, returned }: WaitingRequest): number {
  const bonusMs = returned ? RETURNED_BONUS_MS : 0;
  return arrivedMs + request.objectiveMs * USEFUL_SHARE + request.priority * PRIORITY_STEP_MS - bonusMs;
}
