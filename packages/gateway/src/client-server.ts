import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Server as NetServer, type Socket } from 'node:net';
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

/** What is under way on one connection. */
interface ConnectionUse {
  /** Requests whose answers have not been written whole. */
  open: number;
  /** Bytes that had come when the last answer was written: more means that a request is on its way. */
  bytesAtRest: number;
}

/**
 * The HTTP server that clients connect to. Once it takes no more, each connection ends with the answer that is under way
 * on it, in the same moment: a caller that was promised to keep it sends its next request at once.
 */
export class ClientServer {
  readonly #server: Server;
  readonly #uses = new Map<Socket, ConnectionUse>();
  #closing = false;

  constructor(listener: Listener) {
    this.#server = createServer(
      {
        maxHeaderSize: MAX_HEAD_BYTES,
        noDelay: true,
        connectionsCheckingInterval: CONNECTIONS_CHECK_MS,
        requestTimeout: 0,
      },
      (request, response) => {
        this.#countAnswer(request.socket, response);
        listener(request, response);
      },
    );
    this.#server.on('connection', (socket: Socket) => this.#track(socket));
  }

  applyLimits(limits: RequestLimits): void {
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  listen(field: string, host: string, port: number): Promise<Result<number, ListenError>> {
    return listen(this.#server, field, host, port);
  }

  /** Whether no more requests are taken: those that still arrive are to be refused. */
  get closing(): boolean {
    return this.#closing;
  }

  /** Answers that have not been written whole. */
  get openAnswers(): number {
    let open = 0;
    for (const use of this.#uses.values()) open += use.open;
    return open;
  }

  /** Takes no more connections and closes those at rest; requests under way go on. */
  stopAccepting(): void {
    this.#closing = true;
    // Closing an HTTP server also destroys connections on which the end of an answer is still to be written.
    NetServer.prototype.close.call(this.#server);
    for (const socket of this.#uses.keys()) this.#closeAtRest(socket);
  }

  closeAll(): void {
    this.#server.closeAllConnections();
  }

  #track(socket: Socket): void {
    this.#uses.set(socket, { open: 0, bytesAtRest: 0 });
    socket.once('close', () => this.#uses.delete(socket));
  }

  #countAnswer(socket: Socket, response: ServerResponse): void {
    const use = this.#uses.get(socket);
    if (use === undefined) return;
    use.open += 1;
    response.once('close', () => {
      use.open -= 1;
      use.bytesAtRest = socket.bytesRead;
      if (this.#closing) this.#closeAtRest(socket);
    });
  }

  #closeAtRest(socket: Socket): void {
    const use = this.#uses.get(socket);
    if (use === undefined || use.open > 0 || socket.bytesRead > use.bytesAtRest) return;
    socket.destroySoon();
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
