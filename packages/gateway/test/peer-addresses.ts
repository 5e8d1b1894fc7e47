import { socketAddress, type SocketAddress } from '@canvasridge/addresses';

const PEER_PORT = 7103;
const OCTET = 256;
/** Nodes of simulations, in the order of their first mention: the index is the host's number. */
const ids: string[] = [];

/** The address of a simulated node. */
export function addressOf(id: string): SocketAddress {
  if (!ids.includes(id)) ids.push(id);
  const number = ids.indexOf(id);
  return socketAddress(`10.0.${Math.floor(number / OCTET)}.${number % OCTET}:${PEER_PORT}`);
}

/** The simulated node at an address. */
export function idAt(address: string): string {
  const [, , high, low] = address.split(/[.:]/).map(Number);
  return ids[(high ?? 0) * OCTET + (low ?? 0)] ?? address;
}
