import { isIP } from 'node:net';
import * as z from 'zod';

/** An IP address and a port. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

const MAX_PORT = 65_535;

/** Parses `IP:port`, with IPv6 addresses in brackets. Undefined if the text is not valid. */
export function parseHostPort(text: string): HostPort | undefined {
  const match = /^(?:\[([0-9a-fA-F:]+)\]|([^:[\]]+)):(\d{1,5})$/.exec(text);
  if (match === null) return undefined;
  const host = match[1] ?? match[2] ?? '';
  const port = Number(match[3]);
  if (isIP(host) === 0 || port > MAX_PORT) return undefined;
  return { host, port };
}

/** Schema of `"IP:port"`; port 0 lets the operating system choose a port. */
export const listenAddress = z.string().transform((text, context): HostPort => {
  const parsed = parseHostPort(text);
  if (parsed !== undefined) return parsed;
  context.addIssue({ code: 'custom', message: 'expected "IP:port", such as "10.0.0.1:8080"' });
  return z.NEVER;
});

export type ListenAddress = HostPort;
