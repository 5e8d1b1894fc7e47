import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { RequestLimits } from '@canvasridge/serving';
import { err, ok, type Result } from 'neverthrow';

/** Heads of requests beyond this are refused whatever the configuration says. */
const MAX_HEAD_BYTES = 65_536;
const CONNECTIONS_CHECK_MS = 1000;

export interface ListenError {
  readonly kind: 'cannot-listen';
  readonly field: string;
  readonly address: string;
  readonly reason: string;
}

type Listener = (request: IncomingMessage, response: ServerResponse) => void;

/** The HTTP server that clients connect to. */
export class ClientServer {
  readonly #server: Server;

  constructor(listener: Listener) {
    this.#server = createServer(
      {
        maxHeaderSize: MAX_HEAD_BYTES,
        noDelay: true,
        connectionsCheckingInterval: CONNECTIONS_CHECK_MS,
        requestTimeout: 0,
      },
      listener,
    );
  }

  applyLimits(limits: RequestLimits): void {
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  listen(field: string, host: string, port: number): Promise<Result<number, ListenError>> {
    return listen(this.#server, field, host, port);
  }

  /** Takes no more connections and closes those at rest; requests under way go on. */
  stopAccepting(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  closeIdle(): void {
    this.#server.closeIdleConnections();
  }

  closeAll(): void {
    this.#server.closeAllConnections();
  }
}

/** Binds an HTTP server; `field` names the setting in errors. */
export function listen(
  server: Server,
  field: string,
  host: string,
  port: number,
): Promise<Result<number, ListenError>> {
  return new Promise((resolve) => {
    server.once('error', (cause) => {
      resolve(err({ kind: 'cannot-listen', field, address: `${host}:${port}`, reason: cause.message }));
    });
    server.listen(port, host, 511, () => {
      const bound = server.address();
      resolve(ok(typeof bound === 'object' && bound !== null ? bound.port : port));
    });
  });
}
