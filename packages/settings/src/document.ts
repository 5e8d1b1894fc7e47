import { readFile } from 'node:fs/promises';
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';

/** A value in a document that does not match the schema. */
export interface DocumentIssue {
  /** Path of the value, such as `engines[2].slots`; `(root)` for the whole document. */
  readonly path: string;
  readonly problem: string;
  readonly found: string;
}

/** Why a settings or configuration file could not be read. */
export type SettingsError =
  | { readonly kind: 'unreadable'; readonly file: string; readonly reason: string }
  | { readonly kind: 'not-json'; readonly file: string; readonly reason: string }
  | { readonly kind: 'invalid'; readonly file: string; readonly issues: readonly DocumentIssue[] };

/** Issues that are described. */
const MAX_ISSUES = 20;
/** Characters of a value that are shown. */
const MAX_FOUND_LENGTH = 60;
/** Levels of a value that are shown. JSON texts may be nested more deeply than `JSON.stringify` can follow. */
const MAX_FOUND_DEPTH = 4;

/** Reads a JSON file and validates it against `schema`. */
export async function readJsonFile<T>(file: string, schema: z.ZodType<T>): Promise<Result<T, SettingsError>> {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch (cause) {
    return err({ kind: 'unreadable', file, reason: (cause as NodeJS.ErrnoException).code ?? String(cause) });
  }
  return parseDocument(file, text, schema);
}

/** Parses and validates JSON text; `file` is its name in errors. */
export function parseDocument<T>(file: string, text: string, schema: z.ZodType<T>): Result<T, SettingsError> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (cause) {
    return err({ kind: 'not-json', file, reason: (cause as Error).message });
  }
  const checked = schema.safeParse(value);
  if (checked.success) return ok(checked.data);
  return err({ kind: 'invalid', file, issues: describeIssues(value, checked.error) });
}

/** Converts schema errors to issues with the path, the problem and the value found; of many, the first ones. */
export function describeIssues(value: unknown, error: z.ZodError): DocumentIssue[] {
  return error.issues.slice(0, MAX_ISSUES).map((issue) => ({
    path: formatPath(issue.path),
    problem: issue.message,
    found: formatFound(valueAt(value, issue.path)),
  }));
}

/**
 * Formats an error, with one line per issue that names the file, the path, the value found and the problem.
 */
export function formatSettingsError(error: SettingsError): string {
  switch (error.kind) {
    case 'unreadable':
      return `${error.file}: cannot be read (${error.reason}); give the path of a readable JSON file`;
    case 'not-json':
      return `${error.file}: is not JSON (${error.reason})`;
    case 'invalid':
      return error.issues.map((issue) => `${error.file}: ${formatIssue(issue)}`).join('\n');
  }
}

export function formatIssue({ path, found, problem }: DocumentIssue): string {
  return `${path}: found ${found}; ${problem}`;
}

function formatPath(path: readonly PropertyKey[]): string {
  const text = path
    .map((part) => (typeof part === 'number' ? `[${part}]` : `.${String(part)}`))
    .join('')
    .replace(/^\./, '');
  return text === '' ? '(root)' : text;
}

function valueAt(value: unknown, path: readonly PropertyKey[]): unknown {
  let current = value;
  for (const part of path) {
    if (typeof current !== 'object' || current === null) return undefined;
    current = (current as Record<PropertyKey, unknown>)[part];
  }
  return current;
}

function formatFound(value: unknown): string {
  if (value === undefined) return 'nothing';
  const text = JSON.stringify(cut(value, MAX_FOUND_DEPTH));
  return text.length > MAX_FOUND_LENGTH ? `${text.slice(0, MAX_FOUND_LENGTH)}…` : text;
}

/** The beginning of a parsed JSON value; deeper levels are replaced by `…`. */
function cut(value: unknown, depth: number): unknown {
  if (typeof value === 'string') return value.slice(0, MAX_FOUND_LENGTH);
  if (typeof value !== 'object' || value === null) return value;
  if (depth === 0) return '…';
  if (Array.isArray(value)) return value.slice(0, MAX_FOUND_LENGTH).map((item) => cut(item, depth - 1));
  const fields = Object.entries(value).slice(0, MAX_FOUND_LENGTH);
  return Object.fromEntries(fields.map(([name, field]) => [name, cut(field, depth - 1)]));
}
