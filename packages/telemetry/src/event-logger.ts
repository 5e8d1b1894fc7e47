import { createConsola, type ConsolaInstance } from 'consola';

/** Fields of one log line. Undefined values are left out. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** Numbers of the levels in consola, in which 2 is `log`. */
const LEVEL_NUMBERS: Readonly<Record<LogLevel, number>> = { error: 0, warn: 1, info: 3, debug: 4 };
const PLAIN_VALUE = /^[\w.:/@%+-]+$/;

/**
 * Formats fields as `key=value` pairs in the given order; values with other than plain characters are
 * JSON-quoted.
 */
export function formatFields(fields: LogFields): string {
  const parts: string[] = [];
  for (const [key, value] of Object.entries(fields)) {
    if (value === undefined) continue;
    const text = String(value);
    parts.push(`${key}=${PLAIN_VALUE.test(text) ? text : JSON.stringify(text)}`);
  }
  return parts.join(' ');
}

/**
 * What a log line is about: a single request, or the state of the process. Request lines are far more
 * frequent.
 */
export type LineCategory = 'request' | 'state';

/** Prefixes of the events that are about a single request. */
const REQUEST_EVENT_PREFIXES = ['request.', 'slot.'];

function categoryOf(event: string): LineCategory {
  return REQUEST_EVENT_PREFIXES.some((prefix) => event.startsWith(prefix)) ? 'request' : 'state';
}

/** Logs each event as one line of key=value pairs. */
export class EventLogger {
  readonly #consola: ConsolaInstance;
  readonly #process: string;

  /**
   * @param processName value of the field `process` in every line
   * @param writeLine receives each line; by default lines go to standard error
   */
  constructor(
    processName: string,
    level: LogLevel,
    writeLine: (line: string, category: LineCategory) => void = writeToStandardError,
  ) {
    this.#process = processName;
    this.#consola = createConsola({
      level: LEVEL_NUMBERS[level],
      reporters: [{ log: ({ args }) => writeLine(String(args[0]), args[1] as LineCategory) }],
    });
  }

  log(level: LogLevel, event: string, fields: LogFields = {}): void {
    if (LEVEL_NUMBERS[level] > this.#consola.level) return;
    const time = new Date().toISOString();
    const line = formatFields({ time, level, process: this.#process, event, ...fields });
    this.#consola[level](line, categoryOf(event));
  }
}

function writeToStandardError(line: string): void {
  process.stderr.write(`${line}\n`);
}
