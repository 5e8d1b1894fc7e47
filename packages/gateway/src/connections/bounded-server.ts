/** An HTTP server whose connections, and the requests on each of them, are bounded. */
import { createServer, type Server, type ServerOptions } from 'node:http';
import type { Socket } from 'node:net';
import { SystemClock } from '@canvasridge/clock';
import { LimitedEvents, type Telemetry } from '@canvasridge/telemetry';
import { ConnectionLimit } from './connection-limit.js';
import { RequestTurns, type TurnListener } from './request-turns.js';
import { isUnreadable, responseToUnreadable } from './unreadable-requests.js';

export interface BoundedServerOptions {
  /** The setting with the server's address, for log lines. */
  readonly field: string;
  readonly telemetry: Pick<Telemetry, 'event'>;
  readonly server: ServerOptions;
  /** Connections at a time. */
  readonly maxConnections: number;
  /** Memory of pipelined requests that wait for the responses before them. */
  readonly maxWaitingBytes: number;
}

/**
 * Creates a server that logs `connections.gave-way` when all connections are taken, `connections.no-room-for-pipelined`
 * when requests that wait take all their memory, and `connections.unreadable` for what is no request or does not end.
 * @param serve called with one request of a connection at a time
 */
export function createBoundedServer(serve: TurnListener, options: BoundedServerOptions): Server {
  const { field, maxConnections, maxWaitingBytes } = options;
  const events = new LimitedEvents(options.telemetry, new SystemClock());
  const limit = new ConnectionLimit<Socket>(maxConnections);
  const turns = new RequestTurns({
    serve: (request, response, waitedMs) => {
      limit.requestArrives(request.socket);
      request.once('end', () => {
        // The rest of a body that was not read ends after its response.
        if (!response.destroyed) limit.requestRead(request.socket);
      });
      serve(request, response, waitedMs);
    },
    onIdle: (socket) => limit.becomesIdle(socket),
    maxWaitingBytes,
    onNoRoom: (fields) => events.event('warn', 'connections.no-room-for-pipelined', field, { ...fields }),
  });
  const server = createServer(options.server, (request, response) => turns.add(request, response));
  server.on('clientError', ({ code = '' }: NodeJS.ErrnoException, connection) => {
    const socket = connection as Socket;
    if (isUnreadable(code)) events.event('info', 'connections.unreadable', field, { code });
    const response = responseToUnreadable(code, turns.servedOn(socket));
    if (response !== undefined && socket.writable) socket.write(response);
    socket.destroy();
  });
  server.on('connection', (socket: Socket) => {
    const gaveWay = limit.add(socket);
    if (gaveWay !== undefined) {
      events.event('warn', 'connections.gave-way', field, { kind: gaveWay.kind, maxConnections });
      gaveWay.connection.destroy();
    }
    socket.once('close', () => limit.remove(socket));
  });
  return server;
}
