import { createServer, type Server } from 'node:http';
import type { Socket } from 'node:net';
import { formatSocketAddress, type AddressBinder, type ListenError } from '@canvasridge/addresses';
import { UdpTransport } from '@canvasridge/membership';
import type { LimitedEvents } from '@canvasridge/telemetry';
import { err, ok, type Result } from 'neverthrow';
import type { NodeSettings } from './settings.js';

const KEEP_ALIVE_MS = 30_000;

/** What a node listens with. */
export interface NodeSockets {
  readonly transport: UdpTransport;
  readonly callerServer: Server;
  readonly peerServer: Server;
  readonly callersUrl: string;
  readonly peersUrl: string;
}

/** Binds all sockets of a node, or none. Connections that arrive before all are bound are closed. */
export async function bindNodeSockets(
  { listen: { callers, peers, gossip }, peerKey }: NodeSettings,
  binder: AddressBinder,
  events: LimitedEvents,
): Promise<Result<NodeSockets, ListenError>> {
  const callerServer = createServer({ keepAliveTimeout: KEEP_ALIVE_MS });
  const peerServer = createServer({ keepAliveTimeout: KEEP_ALIVE_MS });
  const servers = [callerServer, peerServer];
  for (const server of servers) server.on('connection', closeConnection);
  const fail = (error: ListenError): Result<never, ListenError> => {
    for (const server of servers) server.close();
    return err(error);
  };
  const peersBound = await binder.listen('listen.peers', peerServer, peers);
  if (peersBound.isErr()) return fail(peersBound.error);
  const transport = await binder.bind('listen.gossip', () => UdpTransport.bind(gossip, peerKey, events));
  if (transport.isErr()) return fail(transport.error);
  // Last, as callers whose connections are accepted wait for answers.
  const callersBound = await binder.listen('listen.callers', callerServer, callers);
  if (callersBound.isErr()) {
    transport.value.close();
    return fail(callersBound.error);
  }
  for (const server of servers) server.off('connection', closeConnection);
  return ok({
    transport: transport.value,
    callerServer,
    peerServer,
    callersUrl: `http://${formatSocketAddress(callersBound.value)}`,
    peersUrl: `http://${formatSocketAddress(peersBound.value)}`,
  });
}

function closeConnection(socket: Socket): void {
  socket.destroy();
}
