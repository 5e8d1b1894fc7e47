import {
  Header,
  formatModelName,
  type EngineClient,
  type EngineError,
  type EngineOrder,
  type EngineOrderReply,
  type EngineReport,
  type EngineRequest,
  type GenerationEnd,
  type StreamSink,
} from '@canvasridge/domain';
import { ResultAsync, err, ok, type Result } from 'neverthrow';
import { request as httpRequest, type Dispatcher } from 'undici';
import * as z from 'zod';
import { streamExchange, type ExchangeEnd, type ExchangeFailure } from './stream-exchange.js';

const REPORT_TIMEOUT_MS = 2000;
/**
 * Longer than ORDER_TIMEOUT_MS because a load waits for the weight store; engines answer other orders at
 * once.
 */
const LOAD_TIMEOUT_MS = 60_000;
const ORDER_TIMEOUT_MS = 2500;
const OK_STATUS = 200;

const refusalSchema = z.object({ reason: z.string(), currentFence: z.number().optional() });

const orderReplySchema = z.union([
  z.object({ kind: z.enum(['done', 'stale-fence']), fence: z.number(), incarnation: z.string() }),
  z.object({ kind: z.literal('failed'), fence: z.number(), incarnation: z.string(), detail: z.string() }),
]);

const reportSchema = z.object({
  engineId: z.string(),
  incarnation: z.string(),
  snapshotAgeMs: z.number(),
  fence: z.number(),
  holder: z.string(),
  renewedAgoMs: z.number(),
  leaseLeftMs: z.number(),
  running: z.number(),
  queued: z.number(),
  adapters: z.array(z.object({ adapter: z.string(), version: z.string(), running: z.number() })),
});

/** Client of an engine over HTTP: completions as server-sent events, fenced orders and status reports. */
export class HttpEngineClient implements EngineClient {
  readonly #url: string;
  readonly #dispatcher: Dispatcher;

  /** @param url base URL of the engine; a trailing slash is removed */
  constructor(url: string, dispatcher: Dispatcher) {
    this.#url = url.replace(/\/$/, '');
    this.#dispatcher = dispatcher;
  }

  generate(
    request: EngineRequest,
    sink: StreamSink,
    signal: AbortSignal,
  ): ResultAsync<GenerationEnd, EngineError> {
    return new ResultAsync(this.#generate(request, sink, signal));
  }

  resume(
    requestId: string,
    afterEventId: number,
    sink: StreamSink,
    signal: AbortSignal,
  ): ResultAsync<GenerationEnd, EngineError> {
    return new ResultAsync(this.#resume(requestId, afterEventId, sink, signal));
  }

  order(fence: number, order: EngineOrder, signal?: AbortSignal): ResultAsync<EngineOrderReply, EngineError> {
    const body = JSON.stringify({ fence, order });
    const timeout = AbortSignal.timeout(order.kind === 'load' ? LOAD_TIMEOUT_MS : ORDER_TIMEOUT_MS);
    const combined = signal === undefined ? timeout : AbortSignal.any([signal, timeout]);
    return new ResultAsync(this.#requestJson('POST', '/control/orders', orderReplySchema, body, combined));
  }

  report(): ResultAsync<EngineReport, EngineError> {
    const signal = AbortSignal.timeout(REPORT_TIMEOUT_MS);
    return new ResultAsync(this.#requestJson('GET', '/control/report', reportSchema, undefined, signal));
  }

  async #generate(
    request: EngineRequest,
    sink: StreamSink,
    signal: AbortSignal,
  ): Promise<Result<GenerationEnd, EngineError>> {
    const outcome = await streamExchange(
      this.#dispatcher,
      {
        origin: this.#url,
        path: request.path,
        method: 'POST',
        headers: {
          'content-type': 'application/json',
          [Header.requestId]: request.requestId,
          [Header.fence]: String(request.fence),
          [Header.priority]: String(request.priority),
          [Header.model]: formatModelName(request.model),
        },
        body: request.body,
        passesStatus: (status) => status === OK_STATUS,
      },
      sink,
      signal,
    );
    if (signal.aborted && request.onDisconnect === 'cancel') this.#cancel(request.requestId);
    return toGenerationResult(outcome, signal);
  }

  async #resume(
    requestId: string,
    afterEventId: number,
    sink: StreamSink,
    signal: AbortSignal,
  ): Promise<Result<GenerationEnd, EngineError>> {
    const outcome = await streamExchange(
      this.#dispatcher,
      {
        origin: this.#url,
        path: `/v1/requests/${encodeURIComponent(requestId)}/stream?after=${afterEventId}`,
        method: 'GET',
        headers: {},
        body: undefined,
        passesStatus: (status) => status === OK_STATUS,
        afterEventId,
      },
      sink,
      signal,
    );
    return toGenerationResult(outcome, signal);
  }

  /** Best effort: if the request is lost, the engine stops the generation itself once nobody reads it. */
  #cancel(requestId: string): void {
    httpRequest(`${this.#url}/v1/requests/${encodeURIComponent(requestId)}`, {
      method: 'DELETE',
      dispatcher: this.#dispatcher,
    }).then(
      (response) => response.body.dump(),
      () => undefined,
    );
  }

  async #requestJson<T>(
    method: 'GET' | 'POST',
    path: string,
    schema: z.ZodType<T>,
    body: string | undefined,
    signal: AbortSignal,
  ): Promise<Result<T, EngineError>> {
    try {
      const response = await httpRequest(`${this.#url}${path}`, {
        method,
        body: body ?? null,
        headers: { 'content-type': 'application/json' },
        dispatcher: this.#dispatcher,
        signal,
      });
      const parsed = schema.safeParse(await response.body.json());
      if (parsed.success) return ok(parsed.data);
      return err({ kind: 'broken', executed: 'unknown', lastEventId: -1, detail: parsed.error.message });
    } catch (cause) {
      return err({ kind: 'broken', executed: 'unknown', lastEventId: -1, detail: (cause as Error).message });
    }
  }
}

function toGenerationResult(
  outcome: ExchangeEnd | ExchangeFailure,
  signal: AbortSignal,
): Result<GenerationEnd, EngineError> {
  if (outcome.kind !== 'failed') {
    if (outcome.kind === 'answered') return ok({ lastEventId: outcome.lastEventId });
    return err(toRefusalError(outcome.status, outcome.refusal));
  }
  if (!outcome.sent) return err({ kind: 'unreachable', executed: 'no', detail: outcome.detail });
  if (signal.aborted) return err({ kind: 'cancelled', executed: 'unknown' });
  return err({
    kind: 'broken',
    executed: 'unknown',
    lastEventId: outcome.lastEventId,
    detail: outcome.detail,
  });
}

function toRefusalError(status: number, text: string): EngineError {
  const parsed = refusalSchema.safeParse(parseJson(text));
  if (!parsed.success) {
    return { kind: 'broken', executed: 'unknown', lastEventId: -1, detail: `status ${status}` };
  }
  switch (parsed.data.reason) {
    case 'stale-fence':
      return { kind: 'stale-fence', executed: 'no', currentFence: parsed.data.currentFence ?? 0 };
    case 'adapter-not-loaded':
      return { kind: 'adapter-not-loaded', executed: 'no' };
    case 'full':
    case 'draining':
      return { kind: 'full', executed: 'no' };
    default:
      return { kind: 'rejected', executed: 'no', status, detail: parsed.data.reason };
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
