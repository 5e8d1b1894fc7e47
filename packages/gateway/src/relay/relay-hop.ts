import type { BackendConnection } from '../backends/backend-connection.js';
import type { AttemptOutcome } from '../request/backend-attempt.js';
import type { BackendHop } from '../request/backend-hop.js';
import type { ResponseHeaders } from '../request/dialect.js';
import { RELAY_HEADER, relayFailure } from './relay-protocol.js';

export interface RelayHopOptions {
  readonly connection: BackendConnection;
  readonly peerId: string;
  readonly backendId: string;
  readonly onReceived: () => void;
  /** Called once with how the attempt ended. */
  readonly onEnded: (outcome: AttemptOutcome) => void;
}

/** The way to a backend through another node. */
export class RelayHop implements BackendHop {
  readonly connection: BackendConnection;
  readonly relay: string;
  readonly headers: readonly string[];
  readonly unreachable = 'no-relay';
  readonly lostCause = 'relay-lost';
  readonly #onReceived: () => void;
  readonly #onEnded: (outcome: AttemptOutcome) => void;

  constructor({ connection, peerId, backendId, onReceived, onEnded }: RelayHopOptions) {
    this.connection = connection;
    this.relay = peerId;
    this.headers = [RELAY_HEADER.backend, backendId];
    this.#onReceived = onReceived;
    this.#onEnded = onEnded;
  }

  failureOf(headers: ResponseHeaders): AttemptOutcome | undefined {
    const header = headers[RELAY_HEADER.failure];
    if (header === undefined) return undefined;
    const { data: failure } = relayFailure.safeParse(header);
    switch (failure) {
      case 'leaving':
      case 'backing-off':
      case 'old-list':
      case 'unreachable':
        return { kind: 'not-run', reason: failure };
      case 'no-room':
        return { kind: 'not-run', reason: 'no-relay' };
      case 'broken':
        return {
          kind: 'broken',
          detail: 'connection of the relaying node to the backend ended',
          how: 'connection-lost',
        };
      case 'bad-answer':
        return { kind: 'broken', detail: 'no valid response at the relaying node', how: 'bad-answer' };
      case undefined:
        // A later build may name other reasons, which may mean anything.
        return { kind: 'broken', detail: 'unknown failure of the relaying node', how: 'bad-answer' };
    }
  }

  received(): void {
    this.#onReceived();
  }

  release(outcome: AttemptOutcome): void {
    this.#onEnded(outcome);
  }
}
