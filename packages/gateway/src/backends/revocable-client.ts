import { splitSocketAddress, type SocketAddress } from '@canvasridge/addresses';
import type { Socket } from 'node:net';
import { pendingInputHandled } from '@canvasridge/clock';
import { Client, buildConnector, type Dispatcher } from 'undici';

export interface RevocableClientOptions {
  readonly address: SocketAddress;
  /** In milliseconds. */
  readonly connectTimeoutMs: number;
  /** Time limits of the HTTP client, in milliseconds. */
  readonly client: Pick<
    Client.Options,
    | 'keepAliveTimeout'
    | 'keepAliveTimeoutThreshold'
    | 'keepAliveMaxTimeout'
    | 'headersTimeout'
    | 'bodyTimeout'
  >;
  /** Whether the socket stays writable after the other side has ended it. */
  readonly allowHalfOpen: boolean;
  /** Called with each new connection, before the HTTP client listens to it. */
  readonly onConnected: (socket: Socket) => void;
  readonly onDisconnected: () => void;
}

/** Handles the response to one request. */
export interface RequestHandler extends Dispatcher.DispatchHandler {
  /** The connection could not be opened: nothing was sent. */
  onNotConnected(cause: Error): void;
}

/** Why a request was not sent: its connection ended after the request had been made and before it was written. */
class EndedBeforeWrite extends Error {
  constructor() {
    super('the connection ended before the request was written');
  }
}

/** Why a connection ended whose response was paused. */
class EndedWhilePaused extends Error {
  constructor(cause: Error | null | undefined) {
    super('the connection ended while its response was paused', { cause });
  }
}

/**
 * An HTTP/1.1 client with one connection, for one request at a time, that neither sends what was decided on outdated
 * input nor leaves behind what was given up:
 *
 * - A request is made when its connection is open and all input has been handled that had arrived by then, and written
 *   at once. So what it depends on, and the time that it says is left, is as new as it can be.
 * - `reset` discards what the operating system still holds of a request. After an ordinary close it would send that on,
 *   also long after, when the link works again, and the request would be run for nobody.
 */
export class RevocableClient {
  readonly #options: RevocableClientOptions;
  readonly #connector: buildConnector.connector;
  readonly #client: Client;
  /** The connection, from its opening to its end. */
  #socket: Socket | undefined;
  /** The connection that the HTTP client has taken over, until it tells that it has ended. */
  #takenOver: Socket | undefined;
  /** Of the response that is being received. */
  #controller: Dispatcher.DispatchController | undefined;
  /** Requests that wait for the connection. */
  #waiting = 0;

  constructor(options: RevocableClientOptions) {
    this.#options = options;
    this.#connector = buildConnector({
      timeout: options.connectTimeoutMs,
      keepAlive: true,
      keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS,
      allowHalfOpen: options.allowHalfOpen,
    });
    this.#client = new Client(`http://${options.address}`, {
      ...options.client,
      pipelining: 1,
      connect: (_, callback) => this.#takeOver(callback),
    });
    this.#client.on('disconnect', () => {
      const ended = this.#takenOver;
      this.#takenOver = undefined;
      // Its successor may be open already.
      if (this.#socket === ended) this.#handleEnd();
    });
  }

  /**
   * Sends a request.
   * @param prepare makes the request right before it is written; undefined if it must not be sent any more, in which
   *   case the handler is not called
   * @param handler its `onRequestStart` is called as the request is written, on a connection that was used before one
   *   turn of the event loop after `prepare`
   */
  send(prepare: () => Dispatcher.DispatchOptions | undefined, handler: RequestHandler): void {
    this.#waiting += 1;
    void this.#ready()
      .finally(() => (this.#waiting -= 1))
      .then(() => {
        const request = prepare();
        if (request !== undefined) this.#client.dispatch(request, this.#resending(prepare, handler));
        else if (!this.#isTakenOver && this.#waiting === 0) this.#socket?.destroy();
      })
      .catch((cause: unknown) => handler.onNotConnected(toError(cause)));
  }

  /** Opens the connection unless it is open; rejects if it can't be opened. */
  async connect(): Promise<void> {
    await this.#open();
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
    if (!this.#isTakenOver) this.#socket?.destroy();
    this.#client.destroy().catch(() => undefined);
  }

  get #isTakenOver(): boolean {
    return this.#socket !== undefined && this.#socket === this.#takenOver;
  }

  /**
   * Resolves when there is a connection and the input has been handled that had arrived by then. A connection that was
   * used before and has ended is replaced; a new one that ended at once is a failure.
   */
  async #ready(): Promise<void> {
    for (;;) {
      const isNew = !this.#isTakenOver;
      const socket = await this.#open();
      // The HTTP client lets another turn pass before it writes to a connection that was used before.
      await (isNew ? pendingInputHandled() : nextTurn());
      if (socket === this.#socket && isOpen(socket) && !this.#client.destroyed) return;
      if (isNew) throw new EndedBeforeWrite();
    }
  }

  /**
   * The handler as the HTTP client calls it. If the connection ends before the request is written, the request is made
   * anew, as the time that it says is left passes while another connection is opened.
   */
  #resending(
    prepare: () => Dispatcher.DispatchOptions | undefined,
    handler: RequestHandler,
  ): Dispatcher.DispatchHandler {
    return {
      onRequestStart: (...parameters) => handler.onRequestStart?.(...parameters),
      onResponseStart: (...parameters) => {
        [this.#controller] = parameters;
        handler.onResponseStart?.(...parameters);
      },
      onResponseData: (...parameters) => handler.onResponseData?.(...parameters),
      onResponseEnd: (...parameters) => handler.onResponseEnd?.(...parameters),
      onResponseError: (controller, error) => {
        if (error instanceof EndedBeforeWrite && !this.#client.destroyed) this.send(prepare, handler);
        else handler.onResponseError?.(controller, error);
      },
    };
  }

  /** Gives the HTTP client the open connection. It never opens one by itself. */
  #takeOver(callback: buildConnector.Callback): void {
    const socket = this.#socket;
    const isUsable = socket !== undefined && !this.#isTakenOver && isOpen(socket);
    if (isUsable) this.#takenOver = socket;
    // The HTTP client expects no answer within its call.
    queueMicrotask(() => {
      if (isUsable) callback(null, socket);
      else callback(new EndedBeforeWrite(), null);
    });
  }

  /** Resolves with the open connection; opens one if there is none. */
  #open(): Promise<Socket> {
    const socket = this.#socket;
    if (socket !== undefined && isOpen(socket)) return Promise.resolve(socket);
    const { host: hostname, port } = splitSocketAddress(this.#options.address);
    return new Promise((resolve, reject) => {
      this.#connector({ hostname, port: String(port), protocol: 'http:' }, (failure, opened) => {
        // On failure the socket is undefined at run time, although its type says null.
        if (failure !== null || opened === null) reject(failure ?? new Error('no connection'));
        else if (this.#client.destroyed) {
          opened.destroy();
          reject(new Error('closed while it connected'));
        } else resolve(this.#track(opened));
      });
    });
  }

  #track(socket: Socket): Socket {
    this.#socket = socket;
    this.#controller = undefined;
    this.#endWhilePaused(socket);
    socket.once('close', () => {
      if (this.#socket === socket && !this.#isTakenOver) this.#handleEnd();
    });
    this.#options.onConnected(socket);
    return socket;
  }

  /**
   * Lets a connection end while its response is paused. The HTTP client looks for the end of a response that may end with
   * its connection, and throws where nothing catches it (`assert(!this.paused)` in `Parser.finish` of undici) unless the
   * response goes on before or the connection ends with an error of another kind than a reset.
   */
  #endWhilePaused(socket: Socket): void {
    const isPaused = (): boolean => this.#controller?.paused === true;
    socket.once('end', () => {
      if (isPaused()) this.#controller?.resume();
    });
    const destroy = socket.destroy.bind(socket);
    socket.destroy = (cause) => destroy(isPaused() ? new EndedWhilePaused(cause) : cause);
  }

  #handleEnd(): void {
    this.#socket = undefined;
    this.#options.onDisconnected();
  }
}

/** Whether neither side has ended the connection, as far as that was read. */
function isOpen(socket: Socket): boolean {
  return !socket.destroyed && !socket.readableEnded;
}

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function toError(cause: unknown): Error {
  return cause instanceof Error ? cause : new Error(String(cause));
}

const KEEP_ALIVE_PROBE_MS = 1000;
