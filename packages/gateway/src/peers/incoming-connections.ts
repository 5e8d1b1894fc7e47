export interface IncomingConnectionsOptions<T> {
  readonly maxConnections: number;
  /** Time within which something has to come on a new connection. */
  readonly firstByteMs: number;
  /** Whether a node of the fleet is at the other end. */
  readonly isMember: (connection: T) => boolean;
}

/**
 * Decides which connections that others opened are kept. Of too many, those of no member give way first, and of these
 * those on which nothing has come; of each kind the oldest. A new one of no member gives way only if all others are members.
 */
export class IncomingConnections<T> {
  readonly #options: IncomingConnectionsOptions<T>;
  /** Those on which nothing has come, by the time at which they were opened; the oldest first. */
  readonly #silent = new Map<T, number>();
  /** The others, the oldest first. */
  readonly #speaking = new Set<T>();

  constructor(options: IncomingConnectionsOptions<T>) {
    this.#options = options;
  }

  get size(): number {
    return this.#silent.size + this.#speaking.size;
  }

  /** Returns the connection that has to give way, which may be the new one, and is not counted any more. */
  add(connection: T, nowMs: number): T | undefined {
    const givingWay = this.size < this.#options.maxConnections ? undefined : this.#leastWorth(connection);
    if (givingWay !== connection) this.#silent.set(connection, nowMs);
    if (givingWay !== undefined) this.remove(givingWay);
    return givingWay;
  }

  /** Records that something has come on a connection. */
  heard(connection: T): void {
    if (this.#silent.delete(connection)) this.#speaking.add(connection);
  }

  remove(connection: T): void {
    this.#silent.delete(connection);
    this.#speaking.delete(connection);
  }

  /** Removes and returns those on which nothing has come in time. */
  takeOverdue(nowMs: number): readonly T[] {
    const overdue: T[] = [];
    for (const [connection, openedMs] of this.#silent)
      if (nowMs - openedMs >= this.#options.firstByteMs) overdue.push(connection);
    for (const connection of overdue) this.remove(connection);
    return overdue;
  }

  #leastWorth(newest: T): T {
    const { isMember } = this.#options;
    for (const connection of this) if (!isMember(connection)) return connection;
    const [oldest = newest] = this;
    return isMember(newest) ? oldest : newest;
  }

  /** Those on which nothing has come before the others, and the oldest first. */
  *[Symbol.iterator](): Iterator<T> {
    yield* this.#silent.keys();
    yield* this.#speaking;
  }
}
