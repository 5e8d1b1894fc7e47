import type { BackendDescription } from '@canvasridge/serving';
import { BackendConnection, type ConnectionTiming } from './backend-connection.js';

const TIMING: ConnectionTiming = {
  connectTimeoutMs: 600,
  defaultKeepAliveMs: 4000,
  keepAliveMarginMs: 600,
  maxKeepAliveMs: 60_000,
};
/** A node may open this many connections to a backend, however small its share of the limit is. */
const MIN_CONNECTIONS = 4;
/** Share of a backend's connection limit that all nodes together use. */
const CONNECTION_SHARE = 0.8;

interface Pool {
  readonly idle: BackendConnection[];
  readonly connections: Set<BackendConnection>;
  listed: boolean;
  /** Time at which data was last received from the backend, by the node's clock. */
  lastReceivedMs: number;
}

/**
 * Pools of keep-alive connections, one pool for each backend id, which is new with each start of a backend's
 * process.
 */
export class BackendConnections {
  readonly #pools = new Map<string, Pool>();

  /**
   * Returns a connection for one request, to be given back with `release`. Undefined if this node already
   * uses its share of the connection limit.
   * @param fleetShare this node's share of the connection limit, from 0 to 1
   * @param isNew whether the connection has to be a new one, which takes the place of an idle one at the limit
   */
  acquire(
    backend: Pick<BackendDescription, 'id' | 'address'>,
    maxConnections: number,
    fleetShare: number,
    isNew = false,
  ): BackendConnection | undefined {
    const pool = this.#pool(backend.id);
    const maxForNode = Math.floor(maxConnections * CONNECTION_SHARE * fleetShare);
    const isFull = pool.connections.size >= Math.max(MIN_CONNECTIONS, maxForNode);
    const idle = !isNew || isFull ? pool.idle.pop() : undefined;
    if (idle !== undefined && !isNew) return idle;
    if (idle !== undefined) {
      discard(pool, idle);
      idle.close();
    } else if (isFull) return undefined;
    const connection = new BackendConnection(backend.address, TIMING, (ended) => discard(pool, ended));
    pool.connections.add(connection);
    return connection;
  }

  /**
   * Returns a connection to the pool. One that is not reusable, is disconnected, or belongs to an unlisted
   * backend is closed.
   */
  release(backendId: string, connection: BackendConnection, reusable: boolean): void {
    const pool = this.#pools.get(backendId);
    if (pool?.connections.has(connection) !== true || !pool.listed || !reusable || !connection.connected) {
      if (pool !== undefined) discard(pool, connection);
      if (reusable) connection.close();
      else connection.reset();
      return;
    }
    pool.idle.push(connection);
  }

  /** Records that data was received from the backend, over a connection of this pool or through another node. */
  recordReceived(backendId: string, nowMs: number): void {
    this.#pool(backendId).lastReceivedMs = nowMs;
  }

  lastReceivedMs(backendId: string): number {
    return this.#pools.get(backendId)?.lastReceivedMs ?? 0;
  }

  /**
   * Closes the idle connections of backends that are no longer listed; requests in progress on the others
   * run to their end.
   */
  retainListed(isListed: (id: string) => boolean): void {
    for (const [id, pool] of this.#pools) {
      if (isListed(id)) continue;
      pool.listed = false;
      for (const connection of pool.idle.splice(0)) connection.close();
      this.#pools.delete(id);
    }
  }

  hasIdle(backendId: string): boolean {
    return (this.#pools.get(backendId)?.idle.length ?? 0) > 0;
  }

  /** Closes the idle connections to a backend: they may have ended without this node being told. */
  dropIdle(backendId: string): void {
    const pool = this.#pools.get(backendId);
    for (const connection of pool?.idle.splice(0) ?? []) {
      pool?.connections.delete(connection);
      connection.close();
    }
  }

  /** Closes the idle connections and takes back the requests on the others. */
  close(): void {
    for (const { idle, connections } of this.#pools.values())
      for (const connection of connections) {
        if (idle.includes(connection)) connection.close();
        else connection.reset();
      }
    this.#pools.clear();
  }

  #pool(id: string): Pool {
    let pool = this.#pools.get(id);
    if (pool === undefined) {
      pool = { idle: [], connections: new Set(), listed: true, lastReceivedMs: 0 };
      this.#pools.set(id, pool);
    }
    return pool;
  }
}

function discard(pool: Pool, connection: BackendConnection): void {
  pool.connections.delete(connection);
  const index = pool.idle.indexOf(connection);
  if (index !== -1) pool.idle.splice(index, 1);
}
