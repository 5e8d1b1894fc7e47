import type { Clock } from '@canvasridge/clock';
import type { LogFields, LogLevel } from './event-logger.js';
import type { Telemetry } from './telemetry.js';

const INTERVAL_MS = 1000;
/** Subjects that are remembered. Bounds the map in case senders choose them. */
const MAX_SUBJECTS = 256;

interface Logged {
  readonly atMs: number;
  /** Events since then that were not logged. */
  unlogged: number;
}

/** Logs events that others can cause at will: at most one of each name and subject within a second. */
export class LimitedEvents {
  readonly #telemetry: Pick<Telemetry, 'event'>;
  readonly #clock: Pick<Clock, 'now'>;
  readonly #logged = new Map<string, Logged>();

  constructor(telemetry: Pick<Telemetry, 'event'>, clock: Pick<Clock, 'now'>) {
    this.#telemetry = telemetry;
    this.#clock = clock;
  }

  /** The field `unlogged` of the next line counts what was not logged. */
  event(level: LogLevel, name: string, subject: string, fields: LogFields): void {
    const key = `${name}/${subject}`;
    const last = this.#logged.get(key);
    const nowMs = this.#clock.now();
    if (last !== undefined && nowMs - last.atMs < INTERVAL_MS) {
      last.unlogged += 1;
      return;
    }
    if (this.#logged.size >= MAX_SUBJECTS) this.#logged.clear();
    this.#logged.set(key, { atMs: nowMs, unlogged: 0 });
    this.#telemetry.event(level, name, subject, { ...fields, unlogged: last?.unlogged });
  }
}
