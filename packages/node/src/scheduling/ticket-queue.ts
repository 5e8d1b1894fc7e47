import type { Clock } from '@canvasridge/clock';
import type { Slot } from './slot.js';

/** How a request's wait ended: `go` means that it may be sent, all others why it may not. */
export type WaitOutcome = 'go' | 'not-owner' | 'load-failed' | 'deadline-passed' | 'cancelled';

/** A request waiting for its adapter to be loaded and for room in the engine's batch. */
export interface Ticket {
  /** Adapter and version, as in `Slot.key`. */
  readonly key: string;
  readonly caller: string;
  readonly priority: number;
  readonly enqueuedAtMs: number;
  /** Start tag of weighted fair queueing among callers. */
  readonly startTag: number;
  /** Time spent waiting for the adapter to be loaded, in milliseconds. */
  stallMs: number;
  /** The slot that the request runs on; set when the wait ends with `go`. */
  slot: Slot | undefined;
  readonly resolve: (outcome: WaitOutcome) => void;
}

/**
 * Each interval of this length spent waiting raises a request by one priority class, so that low classes do
 * not starve.
 */
const AGEING_MS = 4000;

/**
 * Requests waiting for one engine, grouped by adapter. The next request is the one with the highest priority,
 * which rises with waiting time; equal priorities are ordered by start-time fair queueing over callers.
 */
export class TicketQueue {
  readonly #clock: Clock;
  readonly #byKey = new Map<string, Ticket[]>();
  /** Start tag of each caller's next request, unless the virtual time has passed it. */
  readonly #callerTags = new Map<string, number>();
  /** Highest start tag of the requests taken so far. */
  #virtualTime = 0;
  #length = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get length(): number {
    return this.#length;
  }

  keys(): Iterable<string> {
    return this.#byKey.keys();
  }

  lengthOf(key: string): number {
    return this.#byKey.get(key)?.length ?? 0;
  }

  waitingFor(key: string): readonly Ticket[] {
    return this.#byKey.get(key) ?? [];
  }

  /** Start tag for the caller's next request. The tags of callers with more weight grow more slowly. */
  nextStartTag(caller: string, weight: number): number {
    const tag = Math.max(this.#virtualTime, this.#callerTags.get(caller) ?? 0);
    this.#callerTags.set(caller, tag + 1 / weight);
    return tag;
  }

  add(ticket: Ticket): void {
    const queue = this.#byKey.get(ticket.key);
    if (queue === undefined) this.#byKey.set(ticket.key, [ticket]);
    else queue.push(ticket);
    this.#length += 1;
  }

  /** Returns false if the request is not queued any more. */
  remove(ticket: Ticket): boolean {
    const queue = this.#byKey.get(ticket.key);
    const index = queue?.indexOf(ticket) ?? -1;
    if (queue === undefined || index === -1) return false;
    queue.splice(index, 1);
    if (queue.length === 0) this.#byKey.delete(ticket.key);
    this.#length -= 1;
    if (this.#length === 0) this.#callerTags.clear();
    return true;
  }

  /** Removes and returns the next request among those whose adapter satisfies `isReady`. */
  takeNext(isReady: (key: string) => boolean): Ticket | undefined {
    const nowMs = this.#clock.now();
    let best: Ticket | undefined;
    let bestPriority = -Infinity;
    for (const [key, queue] of this.#byKey) {
      if (!isReady(key)) continue;
      const head = headOf(queue, nowMs);
      if (head === undefined) continue;
      const headPriority = effectivePriority(head, nowMs);
      if (
        best !== undefined &&
        (headPriority < bestPriority || (headPriority === bestPriority && head.startTag >= best.startTag))
      ) {
        continue;
      }
      best = head;
      bestPriority = headPriority;
    }
    if (best === undefined) return undefined;
    this.remove(best);
    this.#virtualTime = Math.max(this.#virtualTime, best.startTag);
    return best;
  }

  /** Removes and returns all requests, or those for one adapter. */
  takeAll(key?: string): Ticket[] {
    const taken = key === undefined ? [...this.#byKey.values()].flat() : [...this.waitingFor(key)];
    for (const ticket of taken) this.remove(ticket);
    return taken;
  }
}

function effectivePriority(ticket: Ticket, nowMs: number): number {
  return ticket.priority + Math.floor((nowMs - ticket.enqueuedAtMs) / AGEING_MS);
}

/**
 * The request that goes first among those for one adapter: highest priority, then lowest start tag, then
 * oldest.
 */
function headOf(queue: readonly Ticket[], nowMs: number): Ticket | undefined {
  let best: Ticket | undefined;
  for (const ticket of queue) {
    if (best === undefined) best = ticket;
    else {
      const difference = effectivePriority(ticket, nowMs) - effectivePriority(best, nowMs);
      if (difference > 0 || (difference === 0 && ticket.startTag < best.startTag)) best = ticket;
    }
  }
  return best;
}
