/** Limits of what peers may take at this node's port for other nodes, where anybody can connect. */
export interface PeerLimits {
  /** Memory for unfinished lines and calls in progress of all incoming connections together. */
  readonly receivedBytes: number;
  /** Memory for answers that the peers of all incoming connections together have not read. */
  readonly unreadBytes: number;
}

/** Shares of the memory of the process. */
const RECEIVED_SHARE = 0.04;
const UNREAD_SHARE = 0.08;
/** Lower bounds, so that one connection never meets a limit alone. */
const MIN_RECEIVED_BYTES = 2 * 1024 * 1024;
/** The longest answer, beside as much as may wait when it is written: see `maySendLarge`. */
const MIN_UNREAD_BYTES = 12 * 1024 * 1024;

/** @param memoryBytes memory that the process may use */
export function peerLimits(memoryBytes: number): PeerLimits {
  return {
    receivedBytes: Math.max(memoryBytes * RECEIVED_SHARE, MIN_RECEIVED_BYTES),
    unreadBytes: Math.max(memoryBytes * UNREAD_SHARE, MIN_UNREAD_BYTES),
  };
}

/** Of a machine with 250 MB. */
export const DEFAULT_PEER_LIMITS = peerLimits(250_000_000);
