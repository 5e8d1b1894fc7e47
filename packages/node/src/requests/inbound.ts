import type { CallerDefinition, Problem, StreamSink } from '@canvasridge/domain';
import { Header, Priority, problem, type PriorityName } from '@canvasridge/domain';
import { err, ok, type Result } from 'neverthrow';

/** A request as received from a caller, before any processing. Header names are in lower case. */
export interface InboundRequest {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string | undefined>>;
  readonly body: Uint8Array;
}

/** Options that a caller sets in request headers. */
export interface RequestOptions {
  readonly requestId: string;
  /** Monotonic time of the deadline, in milliseconds. */
  readonly deadlineAtMs: number;
  readonly priority: number;
  /** Whether the request may be run more than once. */
  readonly repeatable: boolean;
  /** Idempotency key, and the home token that names the process remembering it. */
  readonly key: string | undefined;
  readonly home: string | undefined;
  /** Whether the stream is kept so that the caller can resume it after a lost connection. */
  readonly resumable: boolean;
}

const REQUEST_ID = /^[\w.:-]{1,64}$/;
const KEY = /^[\x21-\x7e]{1,128}$/;
const MAX_DEADLINE_MS = 3_600_000;

type HeaderResult<T> = Result<T, Problem>;

/** Parses the request headers; an error names the header, the value found and the values allowed. */
export function readOptions(
  headers: InboundRequest['headers'],
  caller: CallerDefinition,
  nowMs: number,
  defaultDeadlineMs: number,
  newRequestId: () => string,
): HeaderResult<RequestOptions> {
  const requestId = headers[Header.requestId] ?? newRequestId();
  if (!REQUEST_ID.test(requestId))
    return invalid(Header.requestId, requestId, '1 to 64 letters, digits, "._:-"');
  const deadline = readDeadline(headers[Header.deadlineMs], defaultDeadlineMs);
  if (deadline.isErr()) return err(deadline.error);
  const priority = readPriority(headers[Header.priority], caller);
  if (priority.isErr()) return err(priority.error);
  const repeatable = headers[Header.repeatable] ?? 'yes';
  if (repeatable !== 'yes' && repeatable !== 'no')
    return invalid(Header.repeatable, repeatable, '"yes" or "no"');
  const key = headers[Header.idempotencyKey];
  if (key !== undefined && !KEY.test(key))
    return invalid(Header.idempotencyKey, key, '1 to 128 printable characters');
  return ok({
    requestId,
    deadlineAtMs: nowMs + deadline.value,
    priority: priority.value,
    repeatable: repeatable === 'yes',
    key,
    home: headers[Header.home],
    resumable: headers[Header.resumable] === 'yes',
  });
}

function readDeadline(text: string | undefined, defaultMs: number): HeaderResult<number> {
  if (text === undefined) return ok(defaultMs);
  const value = Number(text);
  if (!Number.isFinite(value) || value > MAX_DEADLINE_MS || text.trim() === '') {
    return invalid(Header.deadlineMs, text, `milliseconds left, at most ${MAX_DEADLINE_MS}`);
  }
  if (value <= 0)
    return err(problem('deadline-passed', 'no', { detail: `${Header.deadlineMs}: found ${text}` }));
  return ok(value);
}

/** A request may lower the priority that the configuration gives to its caller, but not raise it. */
function readPriority(text: string | undefined, caller: CallerDefinition): HeaderResult<number> {
  const highest = Priority[caller.priority];
  if (text === undefined) return ok(highest);
  if (!(text in Priority)) return invalid(Header.priority, text, Object.keys(Priority).join(', '));
  return ok(Math.min(highest, Priority[text as PriorityName]));
}

function invalid<T>(name: string, found: string, expected: string): HeaderResult<T> {
  return err(
    problem('invalid-header', 'no', {
      detail: `${name}: found "${found.slice(0, 80)}", expected ${expected}`,
    }),
  );
}

/** How a request ended, for the HTTP layer to finish the response. */
export type RequestEnd =
  /** The whole response was written to the sink. */
  | { readonly kind: 'completed' }
  /** Nothing was written to the sink; the problem document is the response. */
  | { readonly kind: 'refused'; readonly problem: Problem }
  /** The response was interrupted after its start; the problem document says why. */
  | { readonly kind: 'broken-off'; readonly problem: Problem };

export function refused(document: Problem): RequestEnd {
  return { kind: 'refused', problem: document };
}

/** Passes a response on to another sink, adds headers to it, and records whether it has started. */
export class RelaySink implements StreamSink {
  readonly #target: StreamSink;
  readonly #headers: Record<string, string>;
  readonly #observer: ((chunk: Uint8Array) => void) | undefined;
  /** Called once, when the response starts. */
  onStart: ((headers: Readonly<Record<string, string>>) => void) | undefined;
  #started = false;
  #status = 0;
  #responseHeaders: Readonly<Record<string, string>> = {};

  /** @param observer called with each chunk before it is passed on */
  constructor(
    target: StreamSink,
    headers: Readonly<Record<string, string>>,
    observer?: (chunk: Uint8Array) => void,
  ) {
    this.#target = target;
    this.#headers = { ...headers };
    this.#observer = observer;
  }

  /** Adds a header to the response; without effect once it has started. */
  setHeader(name: string, value: string): void {
    this.#headers[name] = value;
  }

  get started(): boolean {
    return this.#started;
  }

  get isEventStream(): boolean {
    return this.#responseHeaders['content-type']?.startsWith('text/event-stream') === true;
  }

  get status(): number {
    return this.#status;
  }

  get responseHeaders(): Readonly<Record<string, string>> {
    return this.#responseHeaders;
  }

  /**
   * Ignored after the first call: a resumed stream starts anew, but its headers have been sent to the caller.
   */
  start(status: number, headers: Readonly<Record<string, string>>): void {
    if (this.#started) return;
    this.#started = true;
    this.#status = status;
    this.#responseHeaders = { ...headers, ...this.#headers };
    this.onStart?.(this.#responseHeaders);
    this.#target.start(status, this.#responseHeaders);
  }

  write(chunk: Uint8Array): boolean {
    this.#observer?.(chunk);
    return this.#target.write(chunk);
  }

  waitForDrain(): Promise<void> {
    return this.#target.waitForDrain();
  }
}
