/** Bytes that a connection has to receive to count as one that is not silent. */
const PROGRESS_BYTES = 4096;

/** What the table asks of a connection. */
export interface TableConnection {
  /** Bytes received so far. */
  readonly bytesRead: number;
}

/**
 * Whether a connection is taken. `instead-of` names the one that gives way to it; with `refused`, requests are running on
 * all others.
 */
export type Admission<C> =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'instead-of'; readonly connection: C }
  | { readonly kind: 'refused' };

/**
 * The connections of a door, of which there is a greatest number. Beyond it, one on which no request is running gives way
 * to a newcomer: first those that have had no request answered, then the others, and of each the one that has been silent
 * for longest. A request runs from the end of its body to the end of its answer.
 */
export class ConnectionTable<C extends TableConnection> {
  readonly #limit: number;
  /** Bytes received when the connection got its place; the longest silent first. Without an answer so far. */
  readonly #unanswered = new Map<C, number>();
  /** The same, of those that have had a request answered. */
  readonly #answered = new Map<C, number>();
  /** Connections on which a request is running, and whether they have had one answered. */
  readonly #running = new Map<C, boolean>();

  constructor(limit: number) {
    this.#limit = limit;
  }

  get size(): number {
    return this.#unanswered.size + this.#answered.size + this.#running.size;
  }

  admit(connection: C): Admission<C> {
    if (this.size < this.#limit) {
      this.#unanswered.set(connection, connection.bytesRead);
      return { kind: 'admitted' };
    }
    const silent = longestSilent(this.#unanswered) ?? longestSilent(this.#answered);
    if (silent === undefined) return { kind: 'refused' };
    this.remove(silent);
    this.#unanswered.set(connection, connection.bytesRead);
    return { kind: 'instead-of', connection: silent };
  }

  /** A request of the connection has arrived whole. */
  requestReceived(connection: C): void {
    if (this.#unanswered.delete(connection)) this.#running.set(connection, false);
    else if (this.#answered.delete(connection)) this.#running.set(connection, true);
  }

  /** The answer to a request has been sent; a refusal doesn't count as one. */
  responseSent(connection: C, refused: boolean): void {
    const answeredBefore = this.#running.get(connection) === true || this.#answered.has(connection);
    if (!answeredBefore && !this.#running.has(connection) && !this.#unanswered.has(connection)) return;
    this.remove(connection);
    const places = answeredBefore || !refused ? this.#answered : this.#unanswered;
    places.set(connection, connection.bytesRead);
  }

  remove(connection: C): void {
    this.#unanswered.delete(connection);
    this.#answered.delete(connection);
    this.#running.delete(connection);
  }
}

/** Connections that have received something since they got their place get a new one behind all others. */
function longestSilent<C extends TableConnection>(places: Map<C, number>): C | undefined {
  // Each is moved at most once, so the loop ends.
  for (let moves = places.size; moves > 0; moves -= 1) {
    const [connection, bytesRead] = places.entries().next().value as [C, number];
    if (connection.bytesRead - bytesRead < PROGRESS_BYTES) return connection;
    places.delete(connection);
    places.set(connection, connection.bytesRead);
  }
  return places.keys().next().value;
}
