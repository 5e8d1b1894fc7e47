import type { Clock } from '@canvasridge/clock';
import type { EventLogger } from './event-logger.js';
import { type LogFields, type LogLevel } from './event-logger.js';
import { EventRing, type TimelineEvent } from './event-ring.js';
import { NullMetrics, type Metrics } from './metrics.js';

const DEFAULT_RING_CAPACITY = 4096;
/** Longest subject or value of a log line, and longest text of a timeline entry, in characters. */
const MAX_TEXT_LENGTH = 2048;
const MAX_RING_TEXT_LENGTH = 512;

/** Logger, metrics and timeline of one process, shared by all its components. */
export class Telemetry {
  readonly ring: EventRing;
  readonly metrics: Metrics;
  readonly #clock: Clock;
  readonly #logger: EventLogger | undefined;
  #errorCounts = new Map<string, number>();

  constructor(options: {
    readonly processName: string;
    readonly clock: Clock;
    readonly logger?: EventLogger | undefined;
    readonly metrics?: Metrics;
    readonly ringCapacity?: number;
  }) {
    this.#clock = options.clock;
    this.#logger = options.logger;
    this.metrics = options.metrics ?? new NullMetrics();
    this.ring = new EventRing(options.processName, options.ringCapacity ?? DEFAULT_RING_CAPACITY);
  }

  /** Logs an event and adds it to the timeline. */
  event(level: LogLevel, name: string, subject: string, fields: LogFields = {}): void {
    if (level === 'error') this.#errorCounts.set(name, (this.#errorCounts.get(name) ?? 0) + 1);
    const shortFields = clipFields({ subject, ...fields });
    this.#logger?.log(level, name, shortFields);
    const detail = Object.entries(shortFields)
      .filter(([key, value]) => key !== 'subject' && value !== undefined)
      .map(([key, value]) => `${key}=${String(value)}`)
      .join(' ');
    this.ring.record({
      atMs: this.#clock.wallTime(),
      name,
      subject: clip(subject, MAX_RING_TEXT_LENGTH),
      detail: clip(detail, MAX_RING_TEXT_LENGTH),
    });
  }

  /** Events of level `error` since the last call, by name. */
  takeErrorCounts(): ReadonlyMap<string, number> {
    const counts = this.#errorCounts;
    this.#errorCounts = new Map();
    return counts;
  }

  /**
   * Adds a step of a request to the timeline without logging it. `startedAtMs` is its start in wall time, for
   * the duration; a step without it is an event of this moment.
   */
  step(name: string, requestId: string, subject: string, startedAtMs?: number): void {
    const nowMs = this.#clock.wallTime();
    const event: TimelineEvent =
      startedAtMs === undefined
        ? { atMs: nowMs, name, requestId, subject }
        : { atMs: startedAtMs, durationMs: nowMs - startedAtMs, name, requestId, subject };
    this.ring.record(event);
  }
}

/** Fields may hold what clients chose, up to the length of a header. */
function clipFields(fields: LogFields): LogFields {
  const isLong = (value: LogFields[string]): value is string =>
    typeof value === 'string' && value.length > MAX_TEXT_LENGTH;
  if (!Object.values(fields).some(isLong)) return fields;
  return Object.fromEntries(
    Object.entries(fields).map(([key, value]) => [key, isLong(value) ? clip(value, MAX_TEXT_LENGTH) : value]),
  );
}

/** A copy of the beginning: a slice would keep the whole text in memory. */
function clip(text: string, maxLength: number): string {
  return text.length <= maxLength ? text : `${Buffer.from(text.slice(0, maxLength)).toString()}...`;
}
