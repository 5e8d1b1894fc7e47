import type { Telemetry } from '@canvasridge/telemetry';
import type * as z from 'zod';

/** Lines that are remembered; beyond that the oldest may be logged again. */
const MAX_REMEMBERED = 512;
const MAX_TEXT_LENGTH = 96;

/** Logs what peers sent and this node can't use, each case once: peers repeat what they send. */
export class UnreadLog {
  readonly #telemetry: Telemetry;
  readonly #logged = new Set<string>();

  constructor(telemetry: Telemetry) {
    this.#telemetry = telemetry;
  }

  /** Undefined for a value that is not valid, which is logged as `name`. */
  read<T>(schema: z.ZodType<T>, name: string, subject: string, value: unknown): T | undefined {
    const { data, error } = schema.safeParse(value);
    if (error !== undefined) this.warn(name, subject, firstProblem(error));
    return data;
  }

  /** @param subject what is not used, of any length */
  warn(name: string, subject: string, fields: Readonly<Record<string, string | number>>): void {
    const shortened = Object.entries(fields).map(([key, value]) => [key, shorten(value)]);
    const key = JSON.stringify([name, shorten(subject), shortened]);
    if (this.#logged.has(key)) return;
    const [oldest] = this.#logged;
    if (this.#logged.size >= MAX_REMEMBERED && oldest !== undefined) this.#logged.delete(oldest);
    this.#logged.add(key);
    this.#telemetry.event('warn', name, shorten(subject), Object.fromEntries(shortened) as typeof fields);
  }
}

/** Why a value is not valid: path and problem of the first field. */
export type FieldProblem = Readonly<Record<'field' | 'problem', string>>;

export function firstProblem({ issues: [issue] }: z.ZodError): FieldProblem {
  return { field: issue?.path.map(String).join('.') ?? '', problem: issue?.message ?? '' };
}

function shorten<T extends string | number>(value: T): T | string {
  return typeof value === 'string' ? value.slice(0, MAX_TEXT_LENGTH) : value;
}
