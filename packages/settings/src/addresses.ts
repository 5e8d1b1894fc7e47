import { parseHostPort, parseSocketAddress, type HostPort, type SocketAddress } from '@canvasridge/addresses';
import * as z from 'zod';

/** Time for which a process that starts waits for addresses that others use; longer than a planned stop of a node. */
export const DEFAULT_START_TIMEOUT_SECONDS = 30;

/** Schema of `"IP:port"`; port 0 lets the operating system choose a port. */
export const listenAddress = z.string().transform((text, context): HostPort => {
  const parsed = parseHostPort(text);
  if (parsed !== undefined) return parsed;
  context.addIssue({ code: 'custom', message: 'expected "IP:port", such as "10.0.0.1:8080"' });
  return z.NEVER;
});

export type ListenAddress = HostPort;

/** Schema of `"IP:port"` of a socket to connect or send to. */
export const remoteAddress = z.string().transform((text, context): SocketAddress => {
  const address = parseSocketAddress(text);
  if (address !== undefined) return address;
  context.addIssue({ code: 'custom', message: 'expected "IP:port" with a port from 1 to 65535' });
  return z.NEVER;
});
