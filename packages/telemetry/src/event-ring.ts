/** One entry of the timeline. */
export interface TimelineEvent {
  /** Milliseconds since the Unix epoch. */
  readonly atMs: number;
  /** Duration in milliseconds; absent for an event without one. */
  readonly durationMs?: number;
  readonly name: string;
  /** Id of the request that caused the event; the same in every process that handles the request. */
  readonly requestId?: string;
  /** What the event is about, such as an engine, a node or a revision. */
  readonly subject?: string;
  readonly detail?: string;
}

/** Timeline of one process, as its `/timeline` endpoint returns it. */
export interface TimelineDump {
  readonly process: string;
  readonly events: readonly TimelineEvent[];
  /** Number of events that were overwritten because the ring was full. */
  readonly dropped: number;
}

/** Ring buffer of the newest events of a process. */
export class EventRing {
  readonly #slots: (TimelineEvent | undefined)[];
  readonly #process: string;
  #written = 0;

  constructor(processName: string, capacity: number) {
    this.#process = processName;
    this.#slots = new Array<TimelineEvent | undefined>(capacity).fill(undefined);
  }

  record(event: TimelineEvent): void {
    this.#slots[this.#written % this.#slots.length] = event;
    this.#written += 1;
  }

  /** Returns the events in the buffer, oldest first. */
  dump(): TimelineDump {
    const capacity = this.#slots.length;
    const first = Math.max(0, this.#written - capacity);
    const events: TimelineEvent[] = [];
    for (let index = first; index < this.#written; index += 1) {
      const event = this.#slots[index % capacity];
      if (event !== undefined) events.push(event);
    }
    return { process: this.#process, events, dropped: first };
  }
}
