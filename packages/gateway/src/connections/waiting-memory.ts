/**
 * Bounds the memory of pipelined requests that wait for the responses before them: on each connection, by no longer
 * reading from it, and of all connections together, by closing the one that holds most.
 */

/**
 * A connection is not read further while its requests hold more than this many bytes. Until it is, the end of its client
 * goes unnoticed.
 */
const MAX_CONNECTION_BYTES = 2 ** 20;

/** @typeParam C a connection */
export class WaitingMemory<C> {
  readonly #maxBytes: number;
  readonly #bytes = new Map<C, number>();
  #totalBytes = 0;

  /** @param maxBytes for all connections together */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  get totalBytes(): number {
    return this.#totalBytes;
  }

  /** Counts a request that waits. Returns the connection to be closed, if there is no room left. */
  add(connection: C, bytes: number): C | undefined {
    this.#change(connection, bytes);
    return this.#totalBytes > this.#maxBytes ? this.#largest() : undefined;
  }

  /** A request waits no longer. */
  release(connection: C, bytes: number): void {
    if (this.#bytes.has(connection)) this.#change(connection, -bytes);
  }

  /** Releases all requests of a connection. */
  remove(connection: C): void {
    this.#change(connection, -(this.#bytes.get(connection) ?? 0));
  }

  /** Whether to read no further requests of this connection for now. */
  isFull(connection: C): boolean {
    return (this.#bytes.get(connection) ?? 0) > MAX_CONNECTION_BYTES;
  }

  #change(connection: C, bytes: number): void {
    const held = (this.#bytes.get(connection) ?? 0) + bytes;
    this.#totalBytes += bytes;
    if (held > 0) this.#bytes.set(connection, held);
    else this.#bytes.delete(connection);
  }

  #largest(): C | undefined {
    let largest: C | undefined;
    let mostBytes = 0;
    for (const [connection, bytes] of this.#bytes) {
      if (bytes <= mostBytes) continue;
      largest = connection;
      mostBytes = bytes;
    }
    return largest;
  }
}
