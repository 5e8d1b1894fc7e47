import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as NetServer, type Socket } from 'node:net';
import { listen, logServerErrors, type BindError, type HostPort } from '@canvasridge/addresses';
import { SystemClock } from '@canvasridge/clock';
import type { RequestLimits } from '@canvasridge/serving';
import { LimitedEvents, errorFields, type Telemetry } from '@canvasridge/telemetry';
import type { Result } from 'neverthrow';
import { createBoundedServer } from './connections/bounded-server.js';
import type { TurnListener } from './connections/request-turns.js';

/** Requests with larger headers are refused, whatever the configuration allows. */
const MAX_HEADER_BYTES = 65_536;
const CONNECTIONS_CHECK_MS = 1000;
/** The HTTP server adds a second, and warns at each connection of what a timer of Node.js can't hold. */
const MAX_IDLE_TIMEOUT_MS = 2 ** 31 - 1 - 60_000;
const SERVICE_UNAVAILABLE = 503;

/** Memory of pipelined requests that wait. */
const DEFAULT_WAITING_BYTES = 8 * 2 ** 20;
/** The setting with the server's address. */
const FIELD = 'listen.callers';

export interface ClientServerOptions {
  /** Connections at a time. Absent: no limit. */
  readonly maxConnections?: number | undefined;
  /** Memory of pipelined requests that wait for the responses before them. */
  readonly maxWaitingBytes?: number;
}

/** State of one client connection. */
interface ConnectionState {
  /** Responses that have not been written completely. */
  openResponses: number;
  /**
   * Bytes that had been read when the last response was written. If more have been read since, a request is
   * arriving.
   */
  bytesReadWhenIdle: number;
}

/**
 * The HTTP server that clients connect to. After `stopAccepting`, each connection is closed at the moment
 * when the response in progress on it has been written: a client whose connection was kept alive would send
 * its next request on it at once.
 */
export class ClientServer {
  readonly #server: Server;
  readonly #onServerError: (cause: Error) => void;
  readonly #connections = new Map<Socket, ConnectionState>();
  #closing = false;

  /**
   * @param listener called with one request of a connection at a time
   * @param telemetry for `request.defect`: what the listener throws, which is answered with 503
   */
  constructor(
    listener: TurnListener,
    telemetry: Pick<Telemetry, 'event'>,
    { maxConnections = Infinity, maxWaitingBytes = DEFAULT_WAITING_BYTES }: ClientServerOptions = {},
  ) {
    this.#onServerError = logServerErrors(new LimitedEvents(telemetry, new SystemClock()), FIELD);
    this.#server = createBoundedServer(
      (request, response, waitedMs) => {
        try {
          listener(request, response, waitedMs);
        } catch (cause) {
          telemetry.event('error', 'request.defect', request.url ?? '', errorFields(cause));
          refuse(response);
        }
      },
      {
        field: FIELD,
        telemetry,
        server: {
          maxHeaderSize: MAX_HEADER_BYTES,
          noDelay: true,
          connectionsCheckingInterval: CONNECTIONS_CHECK_MS,
          requestTimeout: 0,
        },
        maxConnections,
        maxWaitingBytes,
      },
    );
    this.#server.prependListener('request', (request: IncomingMessage, response: ServerResponse) =>
      this.#countResponse(request.socket, response),
    );
    this.#server.on('connection', (socket: Socket) => this.#track(socket));
  }

  applyLimits(limits: RequestLimits): void {
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = Math.min(limits.idleTimeoutMs, MAX_IDLE_TIMEOUT_MS);
  }

  /** Resolves to the port. It may be called again after an error. */
  async listen(address: HostPort): Promise<Result<number, BindError>> {
    const bound = await listen(this.#server, address, this.#onServerError);
    return bound.map(({ port }) => port);
  }

  /** Whether the server has stopped accepting: requests that still arrive are to be refused. */
  get closing(): boolean {
    return this.#closing;
  }

  /** Number of responses that have not been written completely. */
  get openResponses(): number {
    let total = 0;
    for (const state of this.#connections.values()) total += state.openResponses;
    return total;
  }

  /** Stops accepting connections and closes idle ones; requests in progress continue. */
  stopAccepting(): void {
    this.#closing = true;
    // Closing an HTTP server also destroys connections whose response has been ended but not yet written
    // out.
    NetServer.prototype.close.call(this.#server);
    for (const socket of this.#connections.keys()) this.#closeIfIdle(socket);
  }

  closeAll(): void {
    this.#server.closeAllConnections();
  }

  #track(socket: Socket): void {
    this.#connections.set(socket, { openResponses: 0, bytesReadWhenIdle: 0 });
    socket.once('close', () => this.#connections.delete(socket));
  }

  #countResponse(socket: Socket, response: ServerResponse): void {
    const state = this.#connections.get(socket);
    if (state === undefined) return;
    state.openResponses += 1;
    response.once('close', () => {
      state.openResponses -= 1;
      state.bytesReadWhenIdle = socket.bytesRead;
      if (this.#closing) this.#closeIfIdle(socket);
    });
  }

  #closeIfIdle(socket: Socket): void {
    const state = this.#connections.get(socket);
    if (state === undefined || state.openResponses > 0 || socket.bytesRead > state.bytesReadWhenIdle) return;
    socket.destroySoon();
  }
}

/** The request was not run, so it may be sent again. */
export function refuse(response: ServerResponse): void {
  if (response.headersSent) response.destroy();
  else response.writeHead(SERVICE_UNAVAILABLE, { 'content-length': 0 }).end();
}
