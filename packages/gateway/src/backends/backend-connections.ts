import { Pool, type Dispatcher } from 'undici';
import type { BackendDescription } from '@canvasridge/serving';

const CONNECT_TIMEOUT_MS = 600;
/** Idle time of a connection whose backend names none. */
const KEEP_ALIVE_MS = 4000;
/** A connection is given up this long before its backend would close it. */
const KEEP_ALIVE_MARGIN_MS = 600;
/** Longest time that a backend's own word is believed. */
const KEEP_ALIVE_MAXIMUM_MS = 60_000;
const FEWEST_CONNECTIONS = 4;
/** Part of a backend's connections that the nodes together use. */
const CONNECTION_SHARE = 0.8;

/** Kept connections to each backend, one pool for each start of a backend. */
export class BackendConnections {
  readonly #pools = new Map<string, Pool>();

  /** @param nodes nodes that share the backend's connections */
  dispatcher(backend: BackendDescription, maxConnections: number, nodes: number): Dispatcher {
    const known = this.#pools.get(backend.id);
    if (known !== undefined) return known;
    const connections = Math.max(
      FEWEST_CONNECTIONS,
      Math.floor((maxConnections * CONNECTION_SHARE) / Math.max(nodes, 1)),
    );
    const pool = new Pool(`http://${backend.address}`, {
      connections,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MAXIMUM_MS,
      connect: { timeout: CONNECT_TIMEOUT_MS, noDelay: true, keepAlive: true, keepAliveInitialDelay: 1000 },
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: -1,
    });
    this.#pools.set(backend.id, pool);
    return pool;
  }

  /** Lets go of backends that are gone; requests under way end as they would. */
  retain(isListed: (id: string) => boolean): void {
    for (const [id, pool] of this.#pools) {
      if (isListed(id)) continue;
      this.#pools.delete(id);
      void pool.close().catch(() => undefined);
    }
  }

  close(): void {
    for (const pool of this.#pools.values()) void pool.destroy().catch(() => undefined);
    this.#pools.clear();
  }
}
