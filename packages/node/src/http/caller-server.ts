import type { IncomingMessage } from 'node:http';
import { getRequestListener } from '@hono/node-server';
import { problem, type Problem } from '@canvasridge/domain';
import type { Telemetry } from '@canvasridge/telemetry';
import { Hono } from 'hono';
import type { Directory } from '../requests/directory.js';
import type { RequestService } from '../requests/request-service.js';
import { handleExchange, headersOf, startExchange, type ExchangeLimits, type Handler } from './exchange.js';
import type { Listener } from './request-order.js';
import { writeProblem } from './response-sink.js';

export interface CallerServerOptions {
  readonly requests: RequestService;
  readonly directory: Directory;
  readonly limits: ExchangeLimits;
  readonly telemetry: Pick<Telemetry, 'event'>;
  /** Requests are refused in state `closed`; the readiness check succeeds only in state `ready`. */
  readonly state: () => 'starting' | 'ready' | 'draining' | 'closed';
}

/**
 * HTTP listener for callers. Generation, service and stream requests bypass Hono, because its web streams
 * cost too much (see {@link handleExchange}); Hono handles all others.
 */
export function callerListener(options: CallerServerOptions): Listener {
  const app = callerApplication(options);
  const applicationListener = getRequestListener(app.fetch);
  const { telemetry } = options;
  return (request, response) => {
    const handler = directHandler(request, options.requests);
    if (handler === undefined) {
      startExchange(telemetry, response, () => applicationListener(request, response));
      return;
    }
    if (options.state() === 'closed') {
      response.setHeader('connection', 'close');
      writeProblem(response, problem('stopping', 'no', { retryAfterSeconds: 1 }));
      return;
    }
    const refusal = options.requests.refusalOf({ headers: headersOf(request) });
    if (refusal !== undefined) {
      writeProblem(response, refusal);
      return;
    }
    startExchange(telemetry, response, () => handleExchange(request, response, options.limits, handler));
  };
}

/** Handler of a request that bypasses Hono; undefined for all other requests. */
function directHandler(request: IncomingMessage, requests: RequestService): Handler | undefined {
  const path = request.url ?? '/';
  if (request.method === 'POST' && (path === '/v1/completions' || path === '/v1/chat/completions')) {
    return (inbound, sink, signal) => requests.generate(inbound, sink, signal);
  }
  if (path.startsWith('/services/'))
    return (inbound, sink, signal) => requests.callService(inbound, sink, signal);
  if (request.method === 'GET' && path.startsWith('/v1/streams/')) {
    return (inbound, sink, signal) => requests.resumeStream(inbound, sink, signal);
  }
  return undefined;
}

function callerApplication(options: CallerServerOptions): Hono {
  const app = new Hono();
  app.get('/healthz', (context) => context.json({ status: 'up' }));
  app.get('/readyz', (context) => {
    const state = options.state();
    return context.json({ state }, state === 'ready' ? 200 : 503);
  });
  app.get('/v1/endpoints', (context) => {
    const answer = options.directory.endpoints(context.req.header('authorization'), context.req.query());
    return answer.isOk() ? context.json(answer.value) : problemResponse(answer.error);
  });
  app.get('/v1/models', (context) => {
    const answer = options.directory.models(context.req.header('authorization'), context.req.query());
    return answer.isOk() ? context.json(answer.value) : problemResponse(answer.error);
  });
  app.notFound((context) => problemResponse(problem('not-found', 'no', { detail: context.req.path })));
  return app;
}

export function problemResponse(document: Problem): Response {
  return new Response(JSON.stringify(document), {
    status: document.status,
    headers: { 'content-type': 'application/problem+json' },
  });
}
