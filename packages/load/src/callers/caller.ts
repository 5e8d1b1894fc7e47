import { Header, type Problem } from '@canvasridge/domain';
import { tokenText, promptHash } from '@canvasridge/standin';
import { isAtMostOnce, type Call, type CallAttempt, type CallResult } from './call.js';

/** Response of the directory, which callers cache for `ttlMs`. */
export interface Endpoints {
  readonly urls: readonly string[];
  /**
   * Home token: names the node process that remembers idempotency keys and decides whether a request with one
   * may run.
   */
  readonly home: string;
  readonly ttlMs: number;
}

/** A complete response, not yet interpreted. */
export interface RawResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | undefined>>;
  readonly text: string;
}

/** Why there was no complete response: the request was never sent, or the connection broke. */
export interface RawFailure {
  readonly kind: 'not-sent' | 'broken';
}

/** One attempt of a call as it is sent. */
export interface RawRequest {
  readonly url: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** How a caller reaches nodes: over HTTP, or over a simulated network. */
export interface CallerTransport {
  now(): number;
  sleep(milliseconds: number): Promise<void>;
  /** URLs of nodes that the caller is configured with, to find the directory. */
  bootstrapUrls(): readonly string[];
  endpoints(url: string, model: string): Promise<Endpoints | undefined>;
  send(request: RawRequest, onFirstByte: () => void): Promise<RawResponse | RawFailure>;
}

/** Result of one attempt. */
interface AttemptResult {
  readonly kind: 'answered' | 'problem' | 'not-sent' | 'broken';
  readonly text: string;
  readonly servedModel: string;
  readonly loadStallMs: number;
  readonly problem: Problem | undefined;
}

const MAX_ATTEMPTS = 6;
const RETRY_DELAY_MS = 250;
const DONE_EVENT = 'data: [DONE]';

/** Deadline that callers give for each attempt, in milliseconds. */
export const CALLER_DEADLINE_MS = 20_000;

/**
 * A caller that follows the rules of the API: caches the directory's response for its time to live, tries the
 * addresses in order, and sends every attempt of an at-most-once call with the same idempotency key and home.
 */
export class Caller {
  readonly #transport: CallerTransport;
  readonly #directory = new Map<string, Endpoints & { readonly expiresAtMs: number }>();

  constructor(transport: CallerTransport) {
    this.#transport = transport;
  }

  /** Makes a call, and repeats it as long as that is allowed and useful. */
  async run(call: Call): Promise<CallResult> {
    const transport = this.#transport;
    const startedAtMs = transport.now();
    const attempts: CallAttempt[] = [];
    let firstTokenMs: number | undefined;
    let last: AttemptResult | undefined;
    const home = isAtMostOnce(call) ? await this.#resolveHome(call) : '';
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const { urls } = await this.#endpoints(call);
      const url = urls[attempt % Math.max(1, urls.length)];
      if (url === undefined) {
        await transport.sleep(RETRY_DELAY_MS);
        continue;
      }
      const requestId = `${call.id}-${attempt}`;
      last = await this.#attempt(url, call, requestId, home, () => {
        firstTokenMs ??= transport.now() - startedAtMs;
      });
      attempts.push({ requestId, reportedExecution: reportedExecutionOf(last) });
      if (last.kind === 'answered') break;
      if (last.kind === 'problem' && !mayRetry(last.problem, call)) break;
      this.#directory.delete(directoryKey(call));
      await transport.sleep((last.problem?.retryAfterSeconds ?? 0) * 1000 + RETRY_DELAY_MS);
    }
    return toCallResult(call, attempts, last, firstTokenMs, transport.now() - startedAtMs);
  }

  /**
   * Waits until the directory names a home, before an at-most-once call is sent. Empty if it never names one.
   */
  async #resolveHome(call: Call): Promise<string> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const { home } = await this.#endpoints(call);
      if (home !== '') return home;
      await this.#transport.sleep(RETRY_DELAY_MS);
    }
    return '';
  }

  async #endpoints(call: Call): Promise<Endpoints> {
    const key = directoryKey(call);
    const cached = this.#directory.get(key);
    if (cached !== undefined && cached.expiresAtMs > this.#transport.now()) return cached;
    for (const nodeUrl of this.#transport.bootstrapUrls()) {
      const endpoints = await this.#transport.endpoints(nodeUrl, key);
      if (endpoints === undefined) continue;
      this.#directory.set(key, { ...endpoints, expiresAtMs: this.#transport.now() + endpoints.ttlMs });
      return endpoints;
    }
    return { urls: [], home: '', ttlMs: 0 };
  }

  async #attempt(
    url: string,
    call: Call,
    requestId: string,
    home: string,
    onFirstByte: () => void,
  ): Promise<AttemptResult> {
    const headers: Record<string, string> = {
      'content-type': 'application/json',
      [Header.requestId]: requestId,
      [Header.deadlineMs]: String(CALLER_DEADLINE_MS),
      ...(isAtMostOnce(call) ? atMostOnceHeaders(call, home) : {}),
    };
    const path = isService(call) ? call.target : '/v1/completions';
    const raw = await this.#transport.send({ url, path, headers, body: bodyOf(call) }, onFirstByte);
    if ('kind' in raw)
      return { kind: raw.kind, text: '', servedModel: '', loadStallMs: 0, problem: undefined };
    return parseResponse(raw);
  }
}

function isService(call: Call): boolean {
  return call.kind === 'service' || call.kind === 'service-once';
}

function bodyOf(call: Call): string {
  if (isService(call)) return JSON.stringify({ call: call.prompt });
  const stream = call.kind === 'stream';
  return JSON.stringify({ model: call.target, prompt: call.prompt, max_tokens: call.maxTokens, stream });
}

function atMostOnceHeaders(call: Call, home: string): Record<string, string> {
  return { [Header.repeatable]: 'no', [Header.idempotencyKey]: call.id, [Header.home]: home };
}

/** Model to ask the directory for, empty for services; also the key of the cached response. */
function directoryKey(call: Call): string {
  return isService(call) ? '' : call.target;
}

function parseResponse({ status, headers, text }: RawResponse): AttemptResult {
  const common = {
    text,
    servedModel: headers[Header.servedModel] ?? '',
    loadStallMs: Number(headers[Header.loadStallMs] ?? 0),
  };
  if (status !== 200) return { kind: 'problem', ...common, problem: JSON.parse(text) as Problem };
  const failure = /event: error\ndata: (.*)\n\n$/.exec(text);
  if (failure?.[1] !== undefined)
    return { kind: 'problem', ...common, problem: JSON.parse(failure[1]) as Problem };
  return { kind: 'answered', ...common, problem: undefined };
}

function reportedExecutionOf(result: AttemptResult): CallAttempt['reportedExecution'] {
  switch (result.kind) {
    case 'answered':
      return 'answered';
    case 'not-sent':
      return 'no';
    case 'broken':
      return 'none';
    case 'problem':
      return result.problem?.executed ?? 'none';
  }
}

/** Whether to repeat a call after a problem: it was not executed, or may be executed more than once. */
function mayRetry(problem: Problem | undefined, call: Call): boolean {
  if (problem === undefined) return false;
  const isFinalStatus =
    problem.status >= 400 && problem.status < 500 && problem.status !== 429 && problem.status !== 421;
  if (isFinalStatus) return false;
  return problem.executed === 'no' || !isAtMostOnce(call);
}

function toCallResult(
  call: Call,
  attempts: readonly CallAttempt[],
  last: AttemptResult | undefined,
  firstTokenMs: number | undefined,
  durationMs: number,
): CallResult {
  const answered = last?.kind === 'answered';
  const service = isService(call);
  return {
    call,
    outcome: outcomeOf(call, attempts, last),
    attempts,
    wrongModel: answered && !service && last.servedModel !== call.target,
    wrongText: answered && !hasExpectedText(call, last.text),
    problem: last?.problem,
    firstTokenMs: answered ? firstTokenMs : undefined,
    loadStallMs: last?.loadStallMs ?? 0,
    durationMs,
  };
}

function outcomeOf(
  call: Call,
  attempts: readonly CallAttempt[],
  last: AttemptResult | undefined,
): CallResult['outcome'] {
  if (last?.kind === 'answered') return isComplete(call, last.text) ? 'completed' : 'lost';
  const reported = attempts.at(-1)?.reportedExecution ?? 'no';
  if (reported === 'no') return 'refused';
  return reported === 'unknown' ? 'unknown' : 'lost';
}

function isComplete(call: Call, text: string): boolean {
  if (call.kind !== 'stream') return text.trimEnd().endsWith('}');
  return text.includes(DONE_EVENT) && countEvents(text) === call.maxTokens;
}

function countEvents(text: string): number {
  return text.split('\n').filter((line) => line.startsWith('data: {')).length;
}

/** The emulator derives its text from model and prompt, so a response to another call is detected. */
function hasExpectedText(call: Call, text: string): boolean {
  if (isService(call)) return text.includes(call.prompt);
  const hash = promptHash(call.target, call.prompt);
  for (let index = 0; index < call.maxTokens; index += 1) {
    if (!text.includes(tokenText(hash, index))) return false;
  }
  return true;
}
