import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { MemoryBudget, MemoryHolder } from './memory-budget.js';

export type Listener = (request: IncomingMessage, response: ServerResponse) => void;

/** Requests that may wait on a connection behind the one in progress. */
export const MAX_WAITING = 64;
/** What the objects of one request take, without its headers. */
const REQUEST_BYTES = 8192;

export interface RequestOrderOptions {
  /** Memory for the requests that wait. A connection whose requests give way is closed; none of them has run. */
  readonly budget: MemoryBudget;
  /** Called when a connection is closed as too many requests wait on it. */
  readonly onTooMany?: () => void;
}

/**
 * Passes on the requests of a connection one at a time, each when the answer to the one before it has been sent
 * (RFC 9112, section 9.3.2). Until then, a response of Node.js has no socket: it queues what is written without a bound,
 * and isn't told when the client leaves.
 */
export function oneAtATime(listener: Listener, options: RequestOrderOptions): Listener {
  const connections = new WeakMap<Socket, ConnectionRequests>();
  return (request, response) => {
    const { socket } = request;
    let requests = connections.get(socket);
    if (requests === undefined) {
      requests = new ConnectionRequests(socket, listener, options);
      connections.set(socket, requests);
    }
    requests.add(request, response);
  };
}

class ConnectionRequests {
  readonly #socket: Socket;
  readonly #listener: Listener;
  readonly #options: RequestOrderOptions;
  #waiting: { request: IncomingMessage; response: ServerResponse; bytes: number }[] = [];
  #holder: MemoryHolder | undefined;
  #busy = false;

  constructor(socket: Socket, listener: Listener, options: RequestOrderOptions) {
    this.#socket = socket;
    this.#listener = listener;
    this.#options = options;
    socket.once('close', () => this.#clear());
  }

  add(request: IncomingMessage, response: ServerResponse): void {
    if (this.#socket.destroyed) return;
    if (!this.#busy) {
      this.#start(request, response);
      return;
    }
    if (this.#waiting.length >= MAX_WAITING) {
      this.#options.onTooMany?.();
      this.#socket.destroy();
      return;
    }
    const bytes = REQUEST_BYTES + headerBytes(request);
    this.#holder ??= this.#options.budget.open(() => this.#socket.destroy());
    if (this.#holder.resize(this.#holder.bytes + bytes)) this.#waiting.push({ request, response, bytes });
    else this.#socket.destroy();
  }

  #start(request: IncomingMessage, response: ServerResponse): void {
    this.#busy = true;
    response.once('close', () => this.#startNext());
    this.#listener(request, response);
  }

  #startNext(): void {
    this.#busy = false;
    const next = this.#socket.destroyed ? undefined : this.#waiting.shift();
    if (next === undefined) {
      this.#clear();
      return;
    }
    this.#holder?.resize(this.#holder.bytes - next.bytes);
    this.#holder?.progressed();
    this.#start(next.request, next.response);
  }

  #clear(): void {
    this.#waiting = [];
    this.#holder?.release();
    this.#holder = undefined;
  }
}

function headerBytes({ url, rawHeaders }: IncomingMessage): number {
  return rawHeaders.reduce((total, text) => total + text.length, url?.length ?? 0);
}
