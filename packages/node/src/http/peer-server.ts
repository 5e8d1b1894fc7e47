import { timingSafeEqual } from 'node:crypto';
import { getRequestListener } from '@hono/node-server';
import { Header, problem } from '@canvasridge/domain';
import type { PeerRpcServer } from '@canvasridge/membership';
import type { Telemetry } from '@canvasridge/telemetry';
import { Hono } from 'hono';
import type { AdminService } from '../control/admin-service.js';
import type { ForwardHandler } from '../requests/forward-handler.js';
import { problemResponse } from './caller-server.js';
import { handleExchange, startExchange, type ExchangeLimits, type Handler } from './exchange.js';
import type { Listener } from './request-order.js';
import { writeProblem } from './response-sink.js';

export interface PeerServerOptions {
  readonly rpc: PeerRpcServer;
  readonly forward: ForwardHandler;
  readonly admin: AdminService;
  readonly limits: ExchangeLimits;
  readonly telemetry: Pick<Telemetry, 'event'>;
  readonly peerKey: string;
  readonly adminKey: string;
}

/** HTTP listener for peers (JSON-RPC and forwarded requests) and operators (`/admin/...`). */
export function peerListener(options: PeerServerOptions): Listener {
  const app = peerApplication(options);
  const applicationListener = getRequestListener(app.fetch);
  const { telemetry } = options;
  return (request, response) => {
    if (request.url?.startsWith('/forward/') !== true) {
      startExchange(telemetry, response, () => applicationListener(request, response));
      return;
    }
    if (!sameSecret(String(request.headers[Header.peerKey] ?? ''), options.peerKey)) {
      writeProblem(response, problem('unauthenticated', 'no'));
      return;
    }
    const { forward } = options;
    const handler: Handler = (inbound, sink, signal) => forward.handle(inbound, sink, signal);
    startExchange(telemetry, response, () =>
      handleExchange(request, response, options.limits, handler, 'cut'),
    );
  };
}

function peerApplication(options: PeerServerOptions): Hono {
  const app = new Hono();
  app.post('/rpc', async (context) => {
    if (!sameSecret(context.req.header(Header.peerKey) ?? '', options.peerKey)) {
      return problemResponse(problem('unauthenticated', 'no'));
    }
    const payload: unknown = await context.req.json().catch(() => undefined);
    const answer = await options.rpc.receive(payload);
    return answer === undefined ? problemResponse(problem('malformed-request', 'no')) : context.json(answer);
  });
  app.route('/admin', adminApplication(options));
  app.notFound((context) => problemResponse(problem('not-found', 'no', { detail: context.req.path })));
  return app;
}

function adminApplication(options: PeerServerOptions): Hono {
  const { admin } = options;
  const app = new Hono();
  app.use('*', async (context, next) => {
    const given = (context.req.header('authorization') ?? '').replace(/^Bearer /, '');
    if (!sameSecret(given, options.adminKey)) {
      return problemResponse(
        problem('unauthenticated', 'no', { detail: 'expected the admin key as bearer token' }),
      );
    }
    await next();
    return undefined;
  });
  app.get('/status', (context) => context.json(admin.status()));
  app.get('/timeline', (context) => context.json(admin.timeline()));
  app.get('/configuration', (context) => context.json(admin.configuration()));
  app.post('/plan', async (context) => {
    const answer = admin.plan(await context.req.json().catch(() => undefined));
    return answer.isOk() ? context.json(answer.value) : problemResponse(answer.error);
  });
  app.post('/drain', (context) => {
    admin.drain();
    return context.json({ draining: true });
  });
  return app;
}

/** Compares two secrets in constant time. */
function sameSecret(given: string, expected: string): boolean {
  const a = Buffer.from(given);
  const b = Buffer.from(expected);
  return a.length === b.length && timingSafeEqual(a, b);
}
