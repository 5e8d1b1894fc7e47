import { createConsola, type ConsolaInstance } from 'consola';

/** Values of one log line. Undefined values are left out. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

const LEVEL_NUMBERS: Readonly<Record<LogLevel, number>> = { error: 0, warn: 1, info: 3, debug: 4 };
const PLAIN_VALUE = /^[\w.:/@%+-]+$/;

/** `key=value` pairs in the given order; values with other than plain characters are JSON-quoted. */
export function formatFields(fields: LogFields): string {
  const parts: string[] = [];
  for (const [key, value] of Object.entries(fields)) {
    if (value === undefined) continue;
    const text = String(value);
    parts.push(`${key}=${PLAIN_VALUE.test(text) ? text : JSON.stringify(text)}`);
  }
  return parts.join(' ');
}

/** What a line tells of: one request, of which there are many, or the state of the process. */
export type LineSubject = 'request' | 'state';

/** Events of single requests begin so. */
const REQUEST_EVENTS = ['request.', 'slot.'];

function subjectOf(event: string): LineSubject {
  return REQUEST_EVENTS.some((prefix) => event.startsWith(prefix)) ? 'request' : 'state';
}

/** Writes one line of key=value pairs for each event. */
export class EventLogger {
  readonly #consola: ConsolaInstance;
  readonly #process: string;

  /**
   * @param processName goes into every line as `process=`
   * @param writeLine where lines go; standard error if absent
   */
  constructor(
    processName: string,
    level: LogLevel,
    writeLine: (line: string, subject: LineSubject) => void = writeToStandardError,
  ) {
    this.#process = processName;
    this.#consola = createConsola({
      level: LEVEL_NUMBERS[level],
      reporters: [{ log: ({ args }) => writeLine(String(args[0]), args[1] as LineSubject) }],
    });
  }

  log(level: LogLevel, event: string, fields: LogFields = {}): void {
    if (LEVEL_NUMBERS[level] > this.#consola.level) return;
    const time = new Date().toISOString();
    const line = formatFields({ time, level, process: this.#process, event, ...fields });
    this.#consola[level](line, subjectOf(event));
  }
}

function writeToStandardError(line: string): void {
  process.stderr.write(`${line}\n`);
}
