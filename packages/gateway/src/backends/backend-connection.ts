import type { SocketAddress } from '@canvasridge/addresses';
import type { Socket } from 'node:net';
import type { Dispatcher } from 'undici';
import { RevocableClient, type RequestHandler } from './revocable-client.js';

/** Time limits of a connection, in milliseconds. */
export interface ConnectionTiming {
  readonly connectTimeoutMs: number;
  /** Keep-alive time of a connection whose backend announces none. */
  readonly defaultKeepAliveMs: number;
  /** A connection is closed this long before the backend's own keep-alive time ends. */
  readonly keepAliveMarginMs: number;
  readonly maxKeepAliveMs: number;
}

/**
 * One connection to a backend, for one request at a time. It records how its socket ended: after
 * `Connection: close`, undici treats any end of the socket as the end of the response, including a reset and
 * an end within a chunk. By RFC 9112, section 8, such a response is complete only if it has neither a length
 * nor chunks and the connection was not reset.
 */
export class BackendConnection {
  readonly #client: RevocableClient;
  #wasReset = false;
  #hasEnded = false;
  #bodyEndsAtClose = false;
  #resetProbe: Promise<boolean> = Promise.resolve(false);
  #connected = false;

  constructor(
    address: SocketAddress,
    timing: ConnectionTiming,
    onDisconnect: (connection: BackendConnection) => void,
  ) {
    this.#client = new RevocableClient({
      address,
      connectTimeoutMs: timing.connectTimeoutMs,
      client: {
        keepAliveTimeout: timing.defaultKeepAliveMs,
        keepAliveTimeoutThreshold: timing.keepAliveMarginMs,
        keepAliveMaxTimeout: timing.maxKeepAliveMs,
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      // Keeps the socket writable after the other side has ended it, which probeReset needs.
      allowHalfOpen: true,
      onConnected: (socket) => this.#trackSocket(socket),
      onDisconnected: () => {
        this.#connected = false;
        onDisconnect(this);
      },
    });
  }

  /** Opens the connection before its request is made; resolves to whether it is open. */
  async open(): Promise<boolean> {
    try {
      await this.#client.connect();
      return true;
    } catch {
      return false;
    }
  }

  /** Sends a request; see {@link RevocableClient.send}. */
  send(prepare: () => Dispatcher.DispatchOptions | undefined, handler: RequestHandler): void {
    this.#client.send(prepare, handler);
  }

  /** Whether the socket ended with an error. */
  get wasReset(): boolean {
    return this.#wasReset;
  }

  /** Whether the other side has ended the socket. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /**
   * Call this when the current response has neither a length nor chunks, so that the end of the connection
   * ends its body.
   */
  expectBodyUntilClose(): void {
    this.#bodyEndsAtClose = true;
  }

  /** Whether the connection that ended the response body was reset rather than closed. */
  async wasResetAtEnd(): Promise<boolean> {
    return this.#wasReset || (await this.#resetProbe);
  }

  get connected(): boolean {
    return this.#connected;
  }

  /** Closes a connection that is idle. */
  close(): void {
    this.#connected = false;
    this.#client.close();
  }

  /** Ends the connection and takes back its request, if the backend has not received it yet. */
  reset(): void {
    this.#connected = false;
    this.#client.reset();
  }

  /**
   * Adds listeners before undici adds its own, so that the flags are set by the time undici ends the
   * response.
   */
  #trackSocket(socket: Socket): void {
    this.#connected = true;
    this.#wasReset = false;
    this.#hasEnded = false;
    this.#bodyEndsAtClose = false;
    this.#resetProbe = Promise.resolve(false);
    socket.setNoDelay(true);
    socket.on('error', () => {
      this.#wasReset = true;
      this.#hasEnded = true;
    });
    socket.on('end', () => {
      this.#hasEnded = true;
      if (this.#bodyEndsAtClose) this.#resetProbe = probeReset(socket);
    });
    socket.on('close', () => {
      this.#hasEnded = true;
    });
  }
}

/**
 * Finds out whether a connection that seems to have ended normally was reset. libuv reports a reset that
 * arrives together with the last bytes as an ordinary end (uv__stream_io reports end of file on POLLHUP
 * after a partial read). Only a write tells the two apart: after a reset it fails at once, after a close the
 * system still accepts it. The connection is not reused in either case.
 */
function probeReset(socket: Socket): Promise<boolean> {
  return new Promise((resolve) => {
    socket.write(PROBE, (failure) => {
      const code = (failure as NodeJS.ErrnoException | null | undefined)?.code;
      resolve(code !== undefined && RESET_CODES.has(code));
    });
  });
}

/** An empty line, which servers skip before a request (RFC 9112, section 2.2). */
const PROBE = '\r\n';
const RESET_CODES = new Set(['EPIPE', 'ECONNRESET', 'ENOTCONN']);
