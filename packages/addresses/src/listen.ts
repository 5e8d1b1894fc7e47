import type { AddressInfo, Server } from 'node:net';
import { err, ok, type Result } from 'neverthrow';
import { bindError, type BindError } from './bind-error.js';
import type { HostPort } from './socket-address.js';

/** Connections that may wait to be accepted; the operating system may allow fewer. */
const BACKLOG = 511;

/** Binds a TCP or HTTP server; resolves to what it was bound to. It may be called again after an error. */
export function listen(server: Server, { host, port }: HostPort): Promise<Result<HostPort, BindError>> {
  return new Promise((resolve) => {
    const onListening = (): void => {
      const bound = server.address() as AddressInfo;
      resolve(ok({ host: bound.address, port: bound.port }));
    };
    server.once('listening', onListening);
    server.once('error', (cause) => {
      server.off('listening', onListening);
      resolve(err(bindError({ host, port }, cause)));
    });
    server.listen({ host, port, backlog: BACKLOG });
  });
}
