import type { BackendConnection } from '../backends/backend-connection.js';
import type { AttemptOutcome, NotRunReason } from './backend-attempt.js';
import type { ResponseHeaders } from './dialect.js';

/** The connection over which one attempt is sent: to the backend itself, or to a node that relays it. */
export interface BackendHop {
  readonly connection: BackendConnection;
  /** Id of the relaying node; undefined if the backend is reached directly. */
  readonly relay: string | undefined;
  /** Headers to add, as a flat list of names and values. */
  readonly headers: readonly string[];
  /** The reason for which an attempt was not sent if the connection can't be opened. */
  readonly unreachable: NotRunReason;
  /** Why an attempt is broken whose connection ended after the request was sent. */
  readonly lostCause: 'connection-lost' | 'relay-lost';
  /** The outcome that a response stands for if it comes from a relaying node itself; undefined otherwise. */
  failureOf(headers: ResponseHeaders): AttemptOutcome | undefined;
  /** Records that data of the backend arrived. */
  received(): void;
  /** Call once, when the attempt has ended. */
  release(outcome: AttemptOutcome): void;
}

/** Whether the connection of an attempt that ended like this may be used for the next one. */
export function isReusable({ kind }: AttemptOutcome): boolean {
  return kind === 'complete' || kind === 'failure' || kind === 'not-run';
}
