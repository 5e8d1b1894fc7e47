/**
 * Whether a request was executed, as stated in problem documents (RFC 9457): "no" only if it provably was
 * not. Every refusal has this field and a stable code.
 */
export type Executed = 'no' | 'unknown';

interface ProblemDefinition {
  readonly status: number;
  readonly title: string;
}

/** All problem codes; docs/reference/errors.md has one row for each. */
export const PROBLEMS = {
  'malformed-request': { status: 400, title: 'The request cannot be read' },
  'malformed-model-name': { status: 400, title: 'The model name cannot be read' },
  'invalid-header': { status: 400, title: 'A header has a value that is not allowed' },
  'key-required': { status: 428, title: 'A request that is not repeatable needs a key and a home' },
  unauthenticated: { status: 401, title: 'The API key is missing or unknown' },
  'not-allowed': { status: 403, title: 'The caller may not use this model or service' },
  'not-found': { status: 404, title: 'There is nothing at this path' },
  'unknown-model': { status: 404, title: 'The configuration in force serves no such model' },
  'unknown-service': { status: 404, title: 'The configuration in force has no such service' },
  'body-too-large': { status: 413, title: 'The body is larger than allowed' },
  'deadline-passed': { status: 504, title: 'The deadline passed before the request ran' },
  'deadline-unreachable': { status: 503, title: 'The request cannot finish before its deadline' },
  'rate-limited': { status: 429, title: 'The caller has reached its rate' },
  'concurrency-limited': { status: 429, title: 'The caller has reached its number of concurrent requests' },
  overloaded: { status: 503, title: 'The queue is full' },
  'no-engine': { status: 503, title: 'No engine for this base model can be reached' },
  'not-owner': { status: 421, title: 'This node does not own the engine' },
  'load-failed': { status: 503, title: 'The adapter cannot be loaded' },
  stopping: { status: 503, title: 'The node is stopping' },
  'not-ready': { status: 503, title: 'The node has no configuration yet' },
  'service-unavailable': { status: 502, title: 'No back end of the service can be reached' },
  'back-end-failed': { status: 502, title: 'The back end broke off' },
  'outcome-unknown': { status: 409, title: 'Whether the request ran is not known; it is not run again' },
  'in-progress': { status: 409, title: 'The first request with this key is still running' },
  'already-executed': {
    status: 409,
    title: 'The request with this key ran, and its answer is no longer held',
  },
  'resume-unavailable': { status: 410, title: 'The stream can no longer be continued' },
  cancelled: { status: 499, title: 'The caller went away' },
} as const satisfies Record<string, ProblemDefinition>;

export type ProblemCode = keyof typeof PROBLEMS;

export interface ProblemExtra {
  /** The value found and the values allowed, as human-readable text. */
  readonly detail?: string;
  /** Time after which the client may retry, in seconds. */
  readonly retryAfterSeconds?: number;
}

export interface Problem extends ProblemExtra {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly code: ProblemCode;
  readonly executed: Executed;
}

/** Builds the problem document for `code`. */
export function problem(code: ProblemCode, executed: Executed, extra: ProblemExtra = {}): Problem {
  const definition = PROBLEMS[code];
  return { type: `urn:canvasridge:problem:${code}`, ...definition, code, executed, ...extra };
}
