import type { BackendDescription } from '@canvasridge/serving';
import { BackendConnection, type ConnectionTiming } from './backend-connection.js';

const TIMING: ConnectionTiming = {
  connectTimeoutMs: 600,
  keepAliveMs: 4000,
  keepAliveMarginMs: 600,
  keepAliveMaximumMs: 60_000,
};
const FEWEST_CONNECTIONS = 4;
/** Part of a backend's connections that the nodes together use. */
const CONNECTION_SHARE = 0.8;

interface Pool {
  readonly idle: BackendConnection[];
  readonly all: Set<BackendConnection>;
  listed: boolean;
  /** When anything was last received from the backend, on the node's clock. */
  heardMs: number;
}

/** Kept connections to each backend, by the start of its process. */
export class BackendConnections {
  readonly #pools = new Map<string, Pool>();

  /**
   * A connection for one request, to be given back by `release`. Undefined when this node has its share.
   * @param fleetShare part of the backend's connections that falls to this node, from 0 to 1
   */
  take(
    backend: BackendDescription,
    maxConnections: number,
    fleetShare: number,
  ): BackendConnection | undefined {
    const pool = this.#pool(backend.id);
    const idle = pool.idle.pop();
    if (idle !== undefined) return idle;
    const most = Math.floor(maxConnections * CONNECTION_SHARE * fleetShare);
    if (pool.all.size >= Math.max(FEWEST_CONNECTIONS, most)) return undefined;
    const connection = new BackendConnection(backend.address, TIMING, (ended) => discard(pool, ended));
    pool.all.add(connection);
    return connection;
  }

  /** Gives a connection back; one that showed anything odd is closed. */
  release(backendId: string, connection: BackendConnection, reusable: boolean): void {
    const pool = this.#pools.get(backendId);
    if (pool?.all.has(connection) !== true || !pool.listed || !reusable || !connection.connected) {
      if (pool !== undefined) discard(pool, connection);
      connection.destroy();
      return;
    }
    pool.idle.push(connection);
  }

  /** The backend sent something. */
  heard(backendId: string, nowMs: number): void {
    const pool = this.#pools.get(backendId);
    if (pool !== undefined) pool.heardMs = nowMs;
  }

  heardMs(backendId: string): number {
    return this.#pools.get(backendId)?.heardMs ?? 0;
  }

  /** Lets go of backends that are gone; requests under way end as they would. */
  retain(isListed: (id: string) => boolean): void {
    for (const [id, pool] of this.#pools) {
      if (isListed(id)) continue;
      pool.listed = false;
      for (const connection of pool.idle.splice(0)) connection.destroy();
      this.#pools.delete(id);
    }
  }

  close(): void {
    for (const { all } of this.#pools.values()) for (const connection of all) connection.destroy();
    this.#pools.clear();
  }

  #pool(id: string): Pool {
    let pool = this.#pools.get(id);
    if (pool === undefined) {
      pool = { idle: [], all: new Set(), listed: true, heardMs: 0 };
      this.#pools.set(id, pool);
    }
    return pool;
  }
}

function discard(pool: Pool, connection: BackendConnection): void {
  pool.all.delete(connection);
  const index = pool.idle.indexOf(connection);
  if (index !== -1) pool.idle.splice(index, 1);
}
