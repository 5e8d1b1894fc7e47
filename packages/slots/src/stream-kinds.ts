import type { SlotRequest, StreamProgress } from './slot-request.js';

/** Half-life of observations, in events, so that rare kinds are learnt from as many events as frequent ones. */
const HALF_LIFE_EVENTS = 2000;
/** Maximum number of kinds that are remembered; the one that was seen first is forgotten first. */
const MAX_KINDS = 64;
/** Events after which a kind's time per event is known well enough to compare engines by it. */
const MIN_EVENTS = 20;

interface KindFigures {
  events: number;
  spanMs: number;
  streams: number;
}

/**
 * What the streams of a pool have in common by kind of request: time per event and length. Streams of different kinds carry
 * different amounts of text in an event, so that only those of one kind are compared.
 */
export class StreamKinds {
  readonly #kinds = new Map<string, KindFigures>();

  /** Usual time between two events in the pool, in milliseconds; undefined while too few were seen. */
  eventMs(kind: string): number | undefined {
    const known = this.#kinds.get(kind);
    return known === undefined || known.events < MIN_EVENTS ? undefined : known.spanMs / known.events;
  }

  /** Usual time from the first event of a stream to its last, in milliseconds; 0 if unknown. */
  streamMs(kind: string): number {
    const known = this.#kinds.get(kind);
    return known === undefined || known.events < MIN_EVENTS ? 0 : known.spanMs / known.streams;
  }

  /** Usual time between two events over all kinds, in milliseconds; 0 if unknown. */
  get meanEventMs(): number {
    let [events, spanMs] = [0, 0];
    for (const known of this.#kinds.values()) {
      events += known.events;
      spanMs += known.spanMs;
    }
    return events < MIN_EVENTS ? 0 : spanMs / events;
  }

  /** Records the events of a stream. */
  observe(kind: string, { events, spanMs }: StreamProgress): void {
    const known = this.#kinds.get(kind) ?? this.#add(kind);
    const keptShare = 0.5 ** (events / HALF_LIFE_EVENTS);
    known.events = known.events * keptShare + events;
    known.spanMs = known.spanMs * keptShare + spanMs;
    known.streams = known.streams * keptShare + 1;
  }

  #add(kind: string): KindFigures {
    const oldest = this.#kinds.keys().next();
    if (this.#kinds.size >= MAX_KINDS && oldest.done !== true) this.#kinds.delete(oldest.value);
    const figures = { events: 0, spanMs: 0, streams: 0 };
    this.#kinds.set(kind, figures);
    return figures;
  }
}

/** Names the kind of a request. Requests of one route have the same objectives. */
export function streamKind({ model, objectiveMs, gapObjectiveMs, priority }: SlotRequest): string {
  return `${model} ${priority} ${objectiveMs} ${gapObjectiveMs ?? ''}`;
}
