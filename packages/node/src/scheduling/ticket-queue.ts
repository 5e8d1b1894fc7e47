import type { Clock } from '@canvasridge/clock';
import type { Slot } from './slot.js';

/** What a waiting request is told. */
export type Turn = 'go' | 'not-owner' | 'load-failed' | 'deadline-passed' | 'cancelled';

/** A request waiting for its adapter and a place in the batch. */
export interface Ticket {
  readonly key: string;
  readonly caller: string;
  readonly priority: number;
  readonly enqueuedAtMs: number;
  /** Start tag of weighted fair queueing among callers. */
  readonly startTag: number;
  /** Time waited while the adapter was not ready, in milliseconds. */
  stallMs: number;
  /** The slot it was given, once its turn has come. */
  slot: Slot | undefined;
  readonly resolve: (turn: Turn) => void;
}

/** Waiting this long counts as much as one class of priority, so that low classes do not starve. */
const AGEING_MS = 4000;

/**
 * Requests waiting for one engine, first in first out for each adapter. Among adapters the next is
 * chosen by priority with ageing, then by weighted fair queueing over callers (start-time tags).
 */
export class TicketQueue {
  readonly #clock: Clock;
  readonly #byKey = new Map<string, Ticket[]>();
  readonly #callerTags = new Map<string, number>();
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

  /** Start tag for the caller's next request: callers with more weight advance more slowly. */
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

  /** Takes the request that goes next among adapters that `isReady`. */
  takeNext(isReady: (key: string) => boolean): Ticket | undefined {
    const nowMs = this.#clock.now();
    let best: Ticket | undefined;
    let bestClass = -Infinity;
    for (const [key, queue] of this.#byKey) {
      if (!isReady(key)) continue;
      const head = headOf(queue, nowMs);
      if (head === undefined) continue;
      const headClass = effectivePriority(head, nowMs);
      if (
        best !== undefined &&
        (headClass < bestClass || (headClass === bestClass && head.startTag >= best.startTag))
      ) {
        continue;
      }
      best = head;
      bestClass = headClass;
    }
    if (best === undefined) return undefined;
    this.remove(best);
    this.#virtualTime = Math.max(this.#virtualTime, best.startTag);
    return best;
  }

  /** Takes all requests, or those of one adapter. */
  takeAll(key?: string): Ticket[] {
    const taken = key === undefined ? [...this.#byKey.values()].flat() : [...this.waitingFor(key)];
    for (const ticket of taken) this.remove(ticket);
    return taken;
  }
}

function effectivePriority(ticket: Ticket, nowMs: number): number {
  return ticket.priority + Math.floor((nowMs - ticket.enqueuedAtMs) / AGEING_MS);
}

/** The queue of one adapter holds callers of all classes: the best of them, first come first. */
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
