import type { AddressInfo, Server } from 'node:net';
import { err, ok, type Result } from 'neverthrow';
import { bindError, type BindError } from './bind-error.js';
import type { HostPort } from './socket-address.js';

/** Connections that may wait to be accepted; the operating system may allow fewer. */
const BACKLOG = 511;

/**
 * Binds a TCP or HTTP server; resolves to what it was bound to. It may be called again after an error.
 * @param onError called for each error of the server once it listens, such as a connection that can't be accepted.
 * Absent: none of them is handled.
 */
export function listen(
  server: Server,
  { host, port }: HostPort,
  onError?: (cause: Error) => void,
): Promise<Result<HostPort, BindError>> {
  return new Promise((resolve) => {
    const onListening = (): void => {
      server.off('error', onRefused);
      if (onError !== undefined) server.on('error', onError);
      const bound = server.address() as AddressInfo;
      resolve(ok({ host: bound.address, port: bound.port }));
    };
    const onRefused = (cause: Error): void => {
      server.off('listening', onListening);
      resolve(err(bindError({ host, port }, cause)));
    };
    server.once('listening', onListening);
    server.once('error', onRefused);
    server.listen({ host, port, backlog: BACKLOG });
  });
}
