import type { Clock } from '@canvasridge/clock';

/** A stream and the software version of the backend that sent its first event. */
export interface KnownStream {
  readonly service: string;
  /** The client's attempt that received the first event. */
  readonly attemptId: string;
  readonly version: string;
  /** Time from its first event for which it may be resumed, in milliseconds. */
  readonly lifeMs: number;
  /** Until when it may be resumed, on the clock of {@link KnownStreams}. */
  readonly untilMs: number;
  /** Whether this node served its first event. */
  readonly isOwn: boolean;
  /** The processes of homes that were told of it. */
  readonly toldTo: Set<string>;
}

/** Some 200 bytes each; beyond this number the oldest are forgotten. */
const MAX_STREAMS = 16_384;

/** Streams that this node served or was told of, for as long as they may be resumed. */
export class KnownStreams {
  readonly #clock: Clock;
  /** By attempt id, oldest first. */
  readonly #streams = new Map<string, KnownStream>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get size(): number {
    return this.#streams.size;
  }

  add(stream: KnownStream): void {
    this.#streams.delete(stream.attemptId);
    this.#streams.set(stream.attemptId, stream);
    const oldest = this.#streams.keys().next();
    if (this.#streams.size > MAX_STREAMS && oldest.done !== true) this.#streams.delete(oldest.value);
  }

  find(service: string, attemptId: string): KnownStream | undefined {
    const stream = this.#streams.get(attemptId);
    return stream?.service === service && stream.untilMs > this.#clock.now() ? stream : undefined;
  }

  all(): Iterable<KnownStream> {
    return this.#streams.values();
  }

  dropExpired(): void {
    const nowMs = this.#clock.now();
    for (const [id, { untilMs }] of this.#streams) if (untilMs <= nowMs) this.#streams.delete(id);
  }
}
