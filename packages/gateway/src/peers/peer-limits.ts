/** Limits of what peers may take at this node's port for other nodes, where anybody can connect. */
export interface PeerLimits {
  /** Memory for unfinished lines and calls in progress of all incoming connections together. */
  readonly receivedBytes: number;
  /** Memory for answers that the peers of all incoming connections together have not read. */
  readonly unreadBytes: number;
  /** Memory for slots that peers wait for or use that are no members. */
  readonly usesBytes: number;
  /** Connections that others have open to this node. */
  readonly maxConnections: number;
  /** Time within which something has to come on a new connection. */
  readonly firstByteMs: number;
  /** Time within which a peer has to take some of what waits to be sent to it. */
  readonly readMs: number;
}

/** Shares of the memory of the process. */
const RECEIVED_SHARE = 0.04;
const UNREAD_SHARE = 0.08;
const USES_SHARE = 0.1;
/** Lower bounds, so that one connection never meets a limit alone. */
const MIN_RECEIVED_BYTES = 2 * 1024 * 1024;
/** The longest answer, beside as much as may wait when it is written: see `maySendLarge`. */
const MIN_UNREAD_BYTES = 12 * 1024 * 1024;

/** Incoming connections, however many descriptors there are. */
const MAX_CONNECTIONS = 1024;
/** Share of the descriptors of the process. */
const DESCRIPTORS_SHARE = 0.25;
/** From the accept of a connection to its first byte. */
const FIRST_BYTE_MS = 10_000;
/** Without progress of a peer that has answers to read. */
const READ_MS = 30_000;

/**
 * @param memoryBytes memory that the process may use
 * @param descriptors that the process may have open
 */
export function peerLimits(memoryBytes: number, descriptors = Infinity): PeerLimits {
  return {
    receivedBytes: Math.max(memoryBytes * RECEIVED_SHARE, MIN_RECEIVED_BYTES),
    unreadBytes: Math.max(memoryBytes * UNREAD_SHARE, MIN_UNREAD_BYTES),
    usesBytes: memoryBytes * USES_SHARE,
    maxConnections: Math.min(MAX_CONNECTIONS, Math.floor(descriptors * DESCRIPTORS_SHARE)),
    firstByteMs: FIRST_BYTE_MS,
    readMs: READ_MS,
  };
}

/** Of a machine with 250 MB. */
export const DEFAULT_PEER_LIMITS = peerLimits(250_000_000);
