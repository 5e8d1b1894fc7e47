import { Header, type Problem } from '@canvasridge/domain';
import { answerToken, promptHash } from '@canvasridge/standin';
import { Agent, request } from 'undici';
import { isOnce, type Call, type CallAttempt, type CallResult } from './call.js';

interface Endpoints {
  readonly urls: readonly string[];
  readonly home: string;
  readonly untilMs: number;
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
const CONNECT_TIMEOUT_MS = 1000;
const DEADLINE_MS = 20_000;
const DONE = 'data: [DONE]';

/**
 * A caller as the system expects it: asks the directory, keeps the answer for as long as it says, goes
 * down the list of addresses, sends a request that must not be repeated again only with its key and home.
 */
export class HttpCaller {
  readonly #key: string;
  readonly #zone: string;
  readonly #anyNode: () => readonly string[];
  readonly #agent = new Agent({ connections: 512, connect: { timeout: CONNECT_TIMEOUT_MS } });
  readonly #directory = new Map<string, Endpoints>();

  /** @param anyNode addresses to ask for the directory: those the caller was configured with */
  constructor(key: string, zone: string, anyNode: () => readonly string[]) {
    this.#key = key;
    this.#zone = zone;
    this.#anyNode = anyNode;
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  /** Makes a call with the attempts that a careful client makes. */
  async run(call: Call): Promise<CallResult> {
    const startedAtMs = performance.now();
    const attempts: CallAttempt[] = [];
    let firstTokenMs: number | undefined;
    let last: AttemptResult | undefined;
    const home = isOnce(call) ? (await this.#endpoints(call)).home : '';
    for (let attempt = 0; attempt < MOST_ATTEMPTS; attempt += 1) {
      const { urls } = await this.#endpoints(call);
      const url = urls[attempt % Math.max(1, urls.length)];
      if (url === undefined) {
        await pause(RETRY_PAUSE_MS);
        continue;
      }
      const requestId = `${call.id}-${attempt}`;
      last = await this.#attempt(url, call, requestId, home, () => {
        firstTokenMs ??= performance.now() - startedAtMs;
      });
      attempts.push({ requestId, told: toldBy(last) });
      if (last.kind === 'answered') break;
      if (last.kind === 'problem' && !mayRetry(last.problem, call)) break;
      this.#directory.delete(directoryKey(call));
      await pause((last.problem?.retryAfterSeconds ?? 0) * 1000 + RETRY_PAUSE_MS);
    }
    return summarise(call, attempts, last, firstTokenMs, performance.now() - startedAtMs);
  }

  async #endpoints(call: Call): Promise<Endpoints> {
    const key = directoryKey(call);
    const known = this.#directory.get(key);
    if (known !== undefined && known.untilMs > performance.now()) return known;
    for (const base of this.#anyNode()) {
      const model = key === '' ? '' : `&model=${encodeURIComponent(key)}`;
      const answer = await this.#ask(`${base}/v1/endpoints?zone=${this.#zone}${model}`);
      if (answer === undefined) continue;
      this.#directory.set(key, answer);
      return answer;
    }
    return { urls: [], home: '', untilMs: 0 };
  }

  async #ask(url: string): Promise<Endpoints | undefined> {
    try {
      const response = await request(url, {
        headers: { authorization: `Bearer ${this.#key}` },
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(CONNECT_TIMEOUT_MS),
      });
      const body = (await response.body.json()) as {
        endpoints?: { url: string }[];
        home?: string;
        ttlSeconds?: number;
      };
      if (response.statusCode !== 200 || body.endpoints === undefined) return undefined;
      return {
        urls: body.endpoints.map((endpoint) => endpoint.url),
        home: body.home ?? '',
        untilMs: performance.now() + (body.ttlSeconds ?? 1) * 1000,
      };
    } catch {
      return undefined;
    }
  }

  async #attempt(
    url: string,
    call: Call,
    requestId: string,
    home: string,
    onFirstByte: () => void,
  ): Promise<AttemptResult> {
    const service = call.kind === 'service' || call.kind === 'service-once';
    const headers: Record<string, string> = {
      authorization: `Bearer ${this.#key}`,
      'content-type': 'application/json',
      [Header.requestId]: requestId,
      [Header.deadlineMs]: String(DEADLINE_MS),
    };
    if (isOnce(call)) Object.assign(headers, onceHeaders(call, home));
    const body = service
      ? JSON.stringify({ call: call.prompt })
      : JSON.stringify({
          model: call.target,
          prompt: call.prompt,
          max_tokens: call.maxTokens,
          stream: call.kind === 'stream',
        });
    let sent = false;
    try {
      const response = await request(`${url}${service ? call.target : '/v1/completions'}`, {
        method: 'POST',
        headers,
        body,
        dispatcher: this.#agent,
        headersTimeout: DEADLINE_MS * 2,
        bodyTimeout: DEADLINE_MS * 2,
      });
      sent = true;
      let text = '';
      for await (const chunk of response.body) {
        if (text === '') onFirstByte();
        text += String(chunk);
      }
      return readAnswer(response.statusCode, response.headers, text);
    } catch (cause) {
      const code = (cause as NodeJS.ErrnoException).code ?? '';
      const refusedConnection = code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
      const kind = !sent && refusedConnection ? 'not-sent' : 'broken';
      return { kind, text: '', servedModel: '', loadStallMs: 0, problem: undefined };
    }
  }
}

function onceHeaders(call: Call, home: string): Record<string, string> {
  return { [Header.repeatable]: 'no', [Header.idempotencyKey]: call.id, [Header.home]: home };
}

function directoryKey(call: Call): string {
  return call.kind === 'service' || call.kind === 'service-once' ? '' : call.target;
}

function readAnswer(
  status: number,
  headers: Readonly<Record<string, string | string[] | undefined>>,
  text: string,
): AttemptResult {
  const common = {
    text,
    servedModel: String(headers[Header.servedModel] ?? ''),
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
  const service = call.kind === 'service' || call.kind === 'service-once';
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
  if (call.kind === 'service' || call.kind === 'service-once') return text.includes(call.prompt);
  const hash = promptHash(call.target, call.prompt);
  for (let index = 0; index < call.maxTokens; index += 1) {
    if (!text.includes(answerToken(hash, index))) return false;
  }
  return true;
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}
