import type { IncomingMessage, ServerResponse } from 'node:http';
import { problem, type StreamSink } from '@canvasridge/domain';
import { errorFields, runInBackground, type Telemetry } from '@canvasridge/telemetry';
import type { InboundRequest, RequestEnd } from '../requests/inbound.js';
import { readBody } from './body.js';
import type { MemoryBudget } from './memory-budget.js';
import { ResponseSink, writeProblem, type BreakStyle } from './response-sink.js';

/** Handles one request and writes the response to `sink`. */
export type Handler = (inbound: InboundRequest, sink: StreamSink, signal: AbortSignal) => Promise<RequestEnd>;

/**
 * Starts the work of a listener for one request. An error ends this exchange and is logged as `endpoint.failed`.
 */
export function startExchange(
  telemetry: Pick<Telemetry, 'event'>,
  response: ServerResponse,
  work: () => Promise<unknown>,
): void {
  runInBackground(telemetry, 'exchange', async () => {
    try {
      await work();
    } catch (cause) {
      telemetry.event('error', 'endpoint.failed', response.req.url ?? '', errorFields(cause));
      if (response.headersSent) response.destroy();
      else writeProblem(response, problem('outcome-unknown', 'unknown'));
    }
  });
}

export function headersOf(request: IncomingMessage): InboundRequest['headers'] {
  return request.headers as Record<string, string | undefined>;
}

/** What bounds the exchanges of all doors of a node. */
export interface ExchangeLimits {
  /** Largest body, in bytes. */
  readonly bodyLimit: () => number;
  /** Memory for all bodies together. */
  readonly bodies: MemoryBudget;
  /** Memory for what waits for slow readers of answers. */
  readonly unsentAnswers: MemoryBudget;
}

/**
 * Handles one HTTP exchange, from reading the request body to the end of the response. It uses `node:http`
 * directly because a response through web streams costs more than all other processing of a request
 * (docs/design/streaming-path.md).
 */
export async function handleExchange(
  request: IncomingMessage,
  response: ServerResponse,
  limits: ExchangeLimits,
  handler: Handler,
  onBreak: BreakStyle = 'tell',
): Promise<void> {
  const disconnected = new AbortController();
  response.on('close', () => {
    if (!response.writableFinished) disconnected.abort();
  });
  const body = await readBody(request, limits.bodyLimit(), limits.bodies);
  if (body.isErr()) {
    response.setHeader('connection', 'close');
    writeProblem(response, body.error);
    return;
  }
  const inbound: InboundRequest = {
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    headers: headersOf(request),
    body: body.value.bytes,
  };
  const sink = new ResponseSink(response, onBreak, limits.unsentAnswers);
  try {
    sink.finish(await handler(inbound, sink, disconnected.signal));
  } finally {
    body.value.release();
  }
}
