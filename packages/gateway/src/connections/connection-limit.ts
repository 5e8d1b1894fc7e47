/**
 * Bounds the connections to a server. When all places are taken, the connection gives way that has been idle longest:
 * one that has sent no whole headers since it was opened or since its last response. If none is idle, the one whose
 * request has been arriving longest does. One that waits for a response never does.
 */

/** What became of the connection that gave way; `new` if none did. */
export type GaveWay<C> =
  | { readonly kind: 'idle'; readonly connection: C }
  | { readonly kind: 'arriving'; readonly connection: C }
  | { readonly kind: 'new'; readonly connection: C };

/** @typeParam C a connection */
export class ConnectionLimit<C> {
  readonly #maxConnections: number;
  // Those that have been in a set longest come first.
  readonly #idle = new Set<C>();
  readonly #arriving = new Set<C>();
  readonly #served = new Set<C>();

  constructor(maxConnections: number) {
    this.#maxConnections = maxConnections;
  }

  get size(): number {
    return this.#idle.size + this.#arriving.size + this.#served.size;
  }

  /** Counts a new connection; returns the one that is to be closed for it, or it itself, if all places are taken. */
  add(connection: C): GaveWay<C> | undefined {
    const gaveWay = this.size < this.#maxConnections ? undefined : this.#giveWay(connection);
    if (gaveWay !== undefined) this.remove(gaveWay.connection);
    if (gaveWay?.kind !== 'new') this.#idle.add(connection);
    return gaveWay;
  }

  /** The headers of a request have been read. */
  requestArrives(connection: C): void {
    this.#move(connection, this.#arriving);
  }

  /** A whole request has been read. */
  requestRead(connection: C): void {
    this.#move(connection, this.#served);
  }

  /** All responses have been written. */
  becomesIdle(connection: C): void {
    this.#move(connection, this.#idle);
  }

  /** Returns whether the connection was counted. */
  remove(connection: C): boolean {
    return (
      this.#idle.delete(connection) || this.#arriving.delete(connection) || this.#served.delete(connection)
    );
  }

  #move(connection: C, to: Set<C>): void {
    if (this.remove(connection)) to.add(connection);
  }

  #giveWay(newest: C): GaveWay<C> {
    for (const connection of this.#idle) return { kind: 'idle', connection };
    for (const connection of this.#arriving) return { kind: 'arriving', connection };
    return { kind: 'new', connection: newest };
  }
}
