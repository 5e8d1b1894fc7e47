import { Agent } from 'undici';

const CONNECTIONS_PER_ORIGIN = 1024;
const CONNECT_TIMEOUT_MS = 1500;
const KEEP_ALIVE_MS = 15_000;

/**
 * Creates an HTTP agent with a connection pool for each origin. Header and body timeouts are off, since each
 * request has a deadline of its own.
 */
export function newHttpAgent(): Agent {
  return new Agent({
    connections: CONNECTIONS_PER_ORIGIN,
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: KEEP_ALIVE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}
