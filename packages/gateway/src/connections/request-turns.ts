/**
 * Serves the requests of each connection one after another. Node.js reads pipelined requests ahead: the responses of
 * those behind the first one have no socket yet, so that they neither learn of its end nor hold their writers up.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { ServedRequest } from './unreadable-requests.js';
import { WaitingMemory } from './waiting-memory.js';

/** Memory of a request and its response beside what the client sent. */
const REQUEST_BYTES = 4096;
/** Most of a body that is read before it is asked for: one read of the socket. */
const READ_BYTES = 65_536;

/** @param waitedMs how long the request waited for the responses before it */
export type TurnListener = (request: IncomingMessage, response: ServerResponse, waitedMs: number) => void;

export interface RequestTurnsOptions {
  readonly serve: TurnListener;
  /** Called when the last response of a connection has been written. */
  readonly onIdle: (socket: Socket) => void;
  /** For requests that wait, on all connections. */
  readonly maxWaitingBytes: number;
  /** Called when a connection is closed as there is no room for what waits. */
  readonly onNoRoom: (fields: { readonly waiting: number; readonly totalBytes: number }) => void;
}

interface WaitingRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly bytes: number;
  /** By `performance.now()`. */
  readonly sinceMs: number;
}

interface Connection {
  readonly waiting: WaitingRequest[];
  served: ServedRequest | undefined;
  isPaused: boolean;
}

export class RequestTurns {
  readonly #options: RequestTurnsOptions;
  readonly #connections = new WeakMap<Socket, Connection>();
  readonly #memory: WaitingMemory<Socket>;

  constructor(options: RequestTurnsOptions) {
    this.#options = options;
    this.#memory = new WaitingMemory(options.maxWaitingBytes);
  }

  /** Serves a request now, or after the responses before it on its connection. */
  add(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    // The rest of what was read with a request at which the connection was closed.
    if (socket.destroyed) return;
    const connection = this.#connections.get(socket) ?? this.#track(socket);
    if (connection.served !== undefined) this.#hold(connection, request, response);
    else this.#serve(connection, request, response, 0);
  }

  /** The request of a connection that is being served. */
  servedOn(socket: Socket): ServedRequest | undefined {
    return this.#connections.get(socket)?.served;
  }

  #track(socket: Socket): Connection {
    const connection: Connection = { waiting: [], served: undefined, isPaused: false };
    this.#connections.set(socket, connection);
    // The HTTP server reads on when it needs the body of the request being served.
    socket.on('resume', () => {
      if (connection.isPaused) socket.pause();
    });
    socket.once('close', () => {
      connection.waiting.length = 0;
      this.#memory.remove(socket);
    });
    return connection;
  }

  #hold(connection: Connection, request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    const bytes = waitingBytes(request);
    connection.waiting.push({ request, response, bytes, sinceMs: performance.now() });
    const closed = this.#memory.add(socket, bytes);
    if (closed !== undefined) this.#close(closed);
    this.#pauseOrResume(connection, socket);
  }

  #serve(connection: Connection, request: IncomingMessage, response: ServerResponse, waitedMs: number): void {
    connection.served = { request, response };
    response.once('close', () => {
      connection.served = undefined;
      this.#serveNext(connection, request.socket);
    });
    this.#options.serve(request, response, waitedMs);
  }

  #serveNext(connection: Connection, socket: Socket): void {
    // The response before may have been the last one of its connection.
    if (!socket.writable) return;
    const next = connection.waiting.shift();
    if (next === undefined) {
      this.#options.onIdle(socket);
      return;
    }
    this.#memory.release(socket, next.bytes);
    this.#pauseOrResume(connection, socket);
    this.#serve(connection, next.request, next.response, performance.now() - next.sinceMs);
  }

  #pauseOrResume(connection: Connection, socket: Socket): void {
    const isPaused = this.#memory.isFull(socket);
    if (isPaused === connection.isPaused || socket.destroyed) return;
    connection.isPaused = isPaused;
    if (isPaused) socket.pause();
    else socket.resume();
  }

  #close(socket: Socket): void {
    const waiting = this.#connections.get(socket)?.waiting.length ?? 0;
    this.#options.onNoRoom({ waiting, totalBytes: this.#memory.totalBytes });
    this.#memory.remove(socket);
    socket.destroy();
  }
}

function waitingBytes({ rawHeaders, url = '', headers }: IncomingMessage): number {
  let bytes = REQUEST_BYTES + url.length;
  for (const part of rawHeaders) bytes += part.length;
  const isChunked = headers['transfer-encoding'] !== undefined;
  const bodyBytes = isChunked ? READ_BYTES : Number(headers['content-length'] ?? 0);
  return bytes + Math.min(bodyBytes, READ_BYTES);
}
