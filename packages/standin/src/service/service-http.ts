import type { IncomingMessage, ServerResponse } from 'node:http';
import { getRequestListener } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono } from 'hono';
import type { ServiceEmulator } from './service-emulator.js';

interface Bindings {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
}

/** HTTP interface of an emulated service; accepts any path and method. */
export function serviceListener(
  service: ServiceEmulator,
): (request: IncomingMessage, response: ServerResponse) => void {
  const app = new Hono<{ Bindings: Bindings }>();
  app.all('*', async (context) => {
    const { incoming } = context.env;
    if (!service.reachable) {
      incoming.socket.destroy();
      return RESPONSE_ALREADY_SENT;
    }
    const execution = {
      requestId: String(incoming.headers['x-request-id'] ?? ''),
      key: String(incoming.headers['idempotency-key'] ?? ''),
      path: context.req.path,
    };
    const responseBody = await service.call(execution, await context.req.text());
    if (responseBody !== undefined)
      return new Response(responseBody, { headers: { 'content-type': 'application/json' } });
    incoming.socket.destroy();
    return RESPONSE_ALREADY_SENT;
  });
  const listener = getRequestListener(app.fetch);
  return (request, response) => void listener(request, response);
}
