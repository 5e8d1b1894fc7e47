import { Header, type Problem } from '@canvasridge/domain';
import { tokenText, promptHash } from '@canvasridge/standin';
import { isOnce, type Call, type CallAttempt, type CallResult } from './call.js';

/** Answer of the directory, as a caller keeps it. */
export interface Endpoints {
  readonly urls: readonly string[];
  readonly home: string;
  readonly ttlMs: number;
}

/** An answer as it came over the connection. */
export interface RawAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | undefined>>;
  readonly text: string;
}

/** Why there was no whole answer. */
export interface RawFailure {
  readonly kind: 'not-sent' | 'broken';
}

/** A call as it goes over the connection. */
export interface RawRequest {
  readonly url: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** How a caller reaches nodes: over HTTP, or over a simulated network. */
export interface CallerTransport {
  now(): number;
  pause(milliseconds: number): Promise<void>;
  /** Addresses that the caller was configured with. */
  anyNode(): readonly string[];
  endpoints(url: string, model: string): Promise<Endpoints | undefined>;
  send(request: RawRequest, onFirstByte: () => void): Promise<RawAnswer | RawFailure>;
}

/** What one attempt brought. */
interface AttemptResult {
  readonly kind: 'answered' | 'problem' | 'not-sent' | 'broken';
  readonly text: string;
  readonly servedModel: string;
  readonly loadStallMs: number;
  readonly problem: Problem | undefined;
}

const MOST_ATTEMPTS = 6;
const RETRY_PAUSE_MS = 250;
const DONE = 'data: [DONE]';

/** Time that callers give each attempt, in milliseconds. */
export const CALLER_DEADLINE_MS = 20_000;

/**
 * A caller as the system expects it: asks the directory, keeps the answer for as long as it says, goes
 * down the list of addresses, sends a request that must not be repeated again only with its key and home.
 */
export class Caller {
  readonly #transport: CallerTransport;
  readonly #directory = new Map<string, Endpoints & { readonly untilMs: number }>();

  constructor(transport: CallerTransport) {
    this.#transport = transport;
  }

  /** Makes a call with the attempts that a careful client makes. */
  async run(call: Call): Promise<CallResult> {
    const transport = this.#transport;
    const startedAtMs = transport.now();
    const attempts: CallAttempt[] = [];
    let firstTokenMs: number | undefined;
    let last: AttemptResult | undefined;
    const home = isOnce(call) ? await this.#homeFor(call) : '';
    for (let attempt = 0; attempt < MOST_ATTEMPTS; attempt += 1) {
      const { urls } = await this.#endpoints(call);
      const url = urls[attempt % Math.max(1, urls.length)];
      if (url === undefined) {
        await transport.pause(RETRY_PAUSE_MS);
        continue;
      }
      const requestId = `${call.id}-${attempt}`;
      last = await this.#attempt(url, call, requestId, home, () => {
        firstTokenMs ??= transport.now() - startedAtMs;
      });
      attempts.push({ requestId, told: toldBy(last) });
      if (last.kind === 'answered') break;
      if (last.kind === 'problem' && !mayRetry(last.problem, call)) break;
      this.#directory.delete(directoryKey(call));
      await transport.pause((last.problem?.retryAfterSeconds ?? 0) * 1000 + RETRY_PAUSE_MS);
    }
    return summarise(call, attempts, last, firstTokenMs, transport.now() - startedAtMs);
  }

  /** A request that must not be repeated is not sent before a home is known. */
  async #homeFor(call: Call): Promise<string> {
    for (let attempt = 0; attempt < MOST_ATTEMPTS; attempt += 1) {
      const { home } = await this.#endpoints(call);
      if (home !== '') return home;
      await this.#transport.pause(RETRY_PAUSE_MS);
    }
    return '';
  }

  async #endpoints(call: Call): Promise<Endpoints> {
    const key = directoryKey(call);
    const known = this.#directory.get(key);
    if (known !== undefined && known.untilMs > this.#transport.now()) return known;
    for (const base of this.#transport.anyNode()) {
      const answer = await this.#transport.endpoints(base, key);
      if (answer === undefined) continue;
      this.#directory.set(key, { ...answer, untilMs: this.#transport.now() + answer.ttlMs });
      return answer;
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
      ...(isOnce(call) ? onceHeaders(call, home) : {}),
    };
    const path = isService(call) ? call.target : '/v1/completions';
    const raw = await this.#transport.send({ url, path, headers, body: bodyOf(call) }, onFirstByte);
    if ('kind' in raw)
      return { kind: raw.kind, text: '', servedModel: '', loadStallMs: 0, problem: undefined };
    return readAnswer(raw);
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

function onceHeaders(call: Call, home: string): Record<string, string> {
  return { [Header.repeatable]: 'no', [Header.idempotencyKey]: call.id, [Header.home]: home };
}

function directoryKey(call: Call): string {
  return isService(call) ? '' : call.target;
}

function readAnswer({ status, headers, text }: RawAnswer): AttemptResult {
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

function toldBy(result: AttemptResult): CallAttempt['told'] {
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

/** A problem is asked again when it was not executed, or when the call may be repeated anyway. */
function mayRetry(problem: Problem | undefined, call: Call): boolean {
  if (problem === undefined) return false;
  const finalStatus =
    problem.status >= 400 && problem.status < 500 && problem.status !== 429 && problem.status !== 421;
  if (finalStatus) return false;
  return problem.executed === 'no' || !isOnce(call);
}

function summarise(
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
  if (last?.kind === 'answered') return isWhole(call, last.text) ? 'completed' : 'lost';
  const told = attempts.at(-1)?.told ?? 'no';
  if (told === 'no') return 'refused';
  return told === 'unknown' ? 'unknown' : 'lost';
}

function isWhole(call: Call, text: string): boolean {
  if (call.kind !== 'stream') return text.trimEnd().endsWith('}');
  return text.includes(DONE) && countEvents(text) === call.maxTokens;
}

function countEvents(text: string): number {
  return text.split('\n').filter((line) => line.startsWith('data: {')).length;
}

/** The emulator answers with a function of model and prompt, so another call's answer shows. */
function hasExpectedText(call: Call, text: string): boolean {
  if (isService(call)) return text.includes(call.prompt);
  const hash = promptHash(call.target, call.prompt);
  for (let index = 0; index < call.maxTokens; index += 1) {
    if (!text.includes(tokenText(hash, index))) return false;
  }
  return true;
}
