/** Limits of what peers may take at this node's port for other nodes, where anybody can connect. */
export interface PeerLimits {
  /** Memory for unfinished lines and calls in progress of all incoming connections together. */
  readonly receivedBytes: number;
}

/** Shares of the memory of the process. */
const RECEIVED_SHARE = 0.04;
/** Lower bounds, so that one connection never meets a limit alone. */
const MIN_RECEIVED_BYTES = 2 * 1024 * 1024;

/** @param memoryBytes memory that the process may use */
export function peerLimits(memoryBytes: number): PeerLimits {
  return { receivedBytes: Math.max(memoryBytes * RECEIVED_SHARE, MIN_RECEIVED_BYTES) };
}

/** Of a machine with 250 MB. */
export const DEFAULT_PEER_LIMITS = peerLimits(250_000_000);
