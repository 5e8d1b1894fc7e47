/** One entry of the timeline. */
export interface TimelineEvent {
  /** Milliseconds since the Unix epoch. */
  readonly atMs: number;
  /** Length in milliseconds; absent for a moment. */
  readonly durationMs?: number;
  readonly name: string;
  /** Request that caused the event, the same in every process it passes. */
  readonly requestId?: string;
  /** What the event is about: an engine, a node, a revision. */
  readonly subject?: string;
  readonly detail?: string;
}

/** The events of one process. */
export interface TimelineDump {
  readonly process: string;
  readonly events: readonly TimelineEvent[];
  /** Events overwritten because the ring was full. */
  readonly dropped: number;
}

/** Keeps the newest events of a process in constant memory. */
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

  /** Oldest first. */
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
