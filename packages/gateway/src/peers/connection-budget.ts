/** What one connection may take, and where it tells what it takes now. */
export interface ConnectionBudget {
  readonly maxLineBytes: number;
  /** Memory of received messages that are unfinished, or of calls in progress. The socket may be destroyed on return. */
  readonly onReceivedHeld: (bytes: number) => void;
  /** Memory of written messages that the peer has not read. The socket may be destroyed on return. */
  readonly onUnreadHeld: (bytes: number) => void;
  /** Memory of slots that the peer waits for or uses. The socket may be destroyed on return. */
  readonly onUsesHeld: (bytes: number) => void;
}

/** No message of a peer that this node called is longer; the longest are lists of backends. */
const MAX_ANSWER_LINE_BYTES = 8 * 1024 * 1024;

/** Of a connection that this node opened, to a node of the fleet. */
export const OUTGOING_BUDGET: ConnectionBudget = {
  maxLineBytes: MAX_ANSWER_LINE_BYTES,
  onReceivedHeld: () => undefined,
  onUnreadHeld: () => undefined,
  onUsesHeld: () => undefined,
};
