import type { Socket } from 'node:net';
import { pendingInputHandled } from '@canvasridge/clock';
import { Client, buildConnector, type Dispatcher } from 'undici';

export interface RevocableClientOptions {
  /** `IP:port` */
  readonly address: string;
  /** In milliseconds, like all times here. */
  readonly connectTimeoutMs: number;
  readonly client: Pick<
    Client.Options,
    | 'keepAliveTimeout'
    | 'keepAliveTimeoutThreshold'
    | 'keepAliveMaxTimeout'
    | 'headersTimeout'
    | 'bodyTimeout'
  >;
  /** Keeps the socket writable after the other side has ended it. */
  readonly allowHalfOpen: boolean;
  /** Called with each new connection, before the HTTP client listens to it. */
  readonly onConnected: (socket: Socket) => void;
  readonly onDisconnected: () => void;
}

/**
 * An HTTP/1.1 client with one connection, for one request at a time, that neither sends what was decided on outdated
 * input nor leaves behind what was given up:
 *
 * - A request is written when all input has been handled that had arrived by the time at which it was handed over, or at
 *   which its connection was established. `mayWrite` is asked then, in the same turn of the event loop.
 * - `reset` discards what the operating system still holds of a request. After an ordinary close it would send that on,
 *   also long after, when the link works again, and the request would be run for nobody.
 */
export class RevocableClient {
  readonly #client: Client;
  #socket: Socket | undefined;

  constructor(options: RevocableClientOptions) {
    const { address, connectTimeoutMs, allowHalfOpen, onConnected, onDisconnected } = options;
    const connector = buildConnector({
      timeout: connectTimeoutMs,
      keepAlive: true,
      keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS,
      allowHalfOpen,
    });
    this.#client = new Client(`http://${address}`, {
      ...options.client,
      pipelining: 1,
      connect: (target, callback) => {
        connector(target, (...result) => {
          // On failure the socket is undefined at run time, although its type says null.
          const [failure, socket] = result;
          if (failure !== null || socket === null) {
            callback(...result);
            return;
          }
          this.#socket = socket;
          // The HTTP client listens for errors only from its callback on.
          socket.on('error', () => undefined);
          onConnected(socket);
          void pendingInputHandled().then(() => callback(...result));
        });
      },
    });
    this.#client.on('disconnect', () => {
      this.#socket = undefined;
      onDisconnected();
    });
  }

  /**
   * Sends a request. Its handler's `onRequestStart` is called right before the write.
   * @param mayWrite asked before the request is handed to the connection; if it says no, the handler is never called
   */
  send(
    request: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
    mayWrite: () => boolean,
  ): void {
    void pendingInputHandled().then(() => {
      if (mayWrite()) this.#client.dispatch(request, handler);
    });
  }

  get isClosed(): boolean {
    return this.#client.destroyed;
  }

  /** Ends the connection at once and discards what it holds of a request. A pending request fails. */
  reset(): void {
    this.#socket?.resetAndDestroy();
    this.close();
  }

  /** Closes the connection, which must be idle or have ended: what was written is still delivered. */
  close(): void {
    this.#client.destroy().catch(() => undefined);
  }
}

const KEEP_ALIVE_PROBE_MS = 1000;
