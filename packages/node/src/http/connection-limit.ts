import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { errorFields, type LimitedEvents } from '@canvasridge/telemetry';
import { ConnectionTable } from './connection-table.js';

const FIRST_ERROR_STATUS = 400;

/**
 * Bounds the connections of a server, and keeps errors in accepting some from ending the process. One line a second for
 * each kind: `connection.gave-way`, `connection.refused`, `connection.accept-failed`.
 * @param door the setting with the server's address, for log lines
 */
export function limitConnections(
  server: Server,
  limit: number,
  door: string,
  events: Pick<LimitedEvents, 'event'>,
): void {
  const table = new ConnectionTable<Socket>(limit);
  server.on('connection', (socket: Socket) => {
    const admission = table.admit(socket);
    if (admission.kind === 'refused') {
      events.event('warn', 'connection.refused', door, { limit });
      socket.destroy();
      return;
    }
    if (admission.kind === 'instead-of') {
      events.event('warn', 'connection.gave-way', door, { limit });
      admission.connection.destroy();
    }
    socket.once('close', () => table.remove(socket));
  });
  server.on('request', (request: IncomingMessage, response: ServerResponse) => {
    const { socket } = request;
    request.once('end', () => {
      // A body that nobody read ends after the answer, when Node.js discards it.
      if (!response.writableEnded) table.requestReceived(socket);
    });
    response.once('close', () =>
      table.responseSent(socket, !response.writableFinished || response.statusCode >= FIRST_ERROR_STATUS),
    );
  });
  server.on('error', (cause) => events.event('error', 'connection.accept-failed', door, errorFields(cause)));
}
