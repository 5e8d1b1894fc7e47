import { isIP, isIPv6 } from 'node:net';

/** An IP address and a port. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

declare const brand: unique symbol;

/**
 * The address of a remote socket as the text `IP:port`, with IPv6 addresses in brackets. Sockets, datagrams and URLs
 * accept each value of this type.
 */
export type SocketAddress = string & { readonly [brand]: 'SocketAddress' };

const MAX_PORT = 65_535;
/** A host or an IPv6 address in brackets, a colon, and a decimal number without leading zeros. */
const HOST_AND_PORT = /^(?:\[([0-9a-fA-F:]+)\]|([\d.]+)):(0|[1-9]\d{0,4})$/;

/** Parses `IP:port`, with IPv6 addresses in brackets; port 0 is valid. Undefined if the text is not valid. */
export function parseHostPort(text: string): HostPort | undefined {
  const match = HOST_AND_PORT.exec(text);
  if (match === null) return undefined;
  const host = match[1] ?? match[2] ?? '';
  const port = Number(match[3]);
  return isIP(host) === 0 || port > MAX_PORT ? undefined : { host, port };
}

/** Undefined if the text is no address that a connection can be opened to. */
export function parseSocketAddress(text: string): SocketAddress | undefined {
  const parsed = parseHostPort(text);
  return parsed === undefined || parsed.port === 0 ? undefined : (text as SocketAddress);
}

/**
 * For an address that is known to be valid.
 * @throws RangeError if it is not
 */
export function socketAddress(text: string): SocketAddress {
  const address = parseSocketAddress(text);
  if (address === undefined) throw new RangeError(`"${text}" is not an IP address and a port`);
  return address;
}

/** @throws RangeError if host and port are no address that a connection can be opened to */
export function formatSocketAddress({ host, port }: HostPort): SocketAddress {
  return socketAddress(isIPv6(host) ? `[${host}]:${port}` : `${host}:${port}`);
}

export function splitSocketAddress(address: SocketAddress): HostPort {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(separator + 1)) };
}
