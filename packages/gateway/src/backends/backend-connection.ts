import type { Socket } from 'node:net';
import { Client, buildConnector, type Dispatcher } from 'undici';

/** Bounds of a connection's life, in milliseconds. */
export interface ConnectionTiming {
  readonly connectTimeoutMs: number;
  /** Idle time of a connection whose backend names none. */
  readonly keepAliveMs: number;
  /** A connection is given up this long before its backend would close it. */
  readonly keepAliveMarginMs: number;
  readonly keepAliveMaximumMs: number;
}

/**
 * One connection to a backend, for one request at a time. It knows whether its socket was reset: undici takes
 * a reset for the end of an answer that has neither length nor chunks, but such an answer is not whole.
 */
export class BackendConnection {
  readonly #client: Client;
  #wasReset = false;
  #connected = false;

  constructor(
    address: string,
    timing: ConnectionTiming,
    onDisconnect: (connection: BackendConnection) => void,
  ) {
    const connector = buildConnector({
      timeout: timing.connectTimeoutMs,
      keepAlive: true,
      keepAliveInitialDelay: 1000,
    });
    this.#client = new Client(`http://${address}`, {
      pipelining: 1,
      keepAliveTimeout: timing.keepAliveMs,
      keepAliveTimeoutThreshold: timing.keepAliveMarginMs,
      keepAliveMaxTimeout: timing.keepAliveMaximumMs,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (options, callback) => {
        connector(options, (...result) => {
          // A failed connect gives no socket: null by its type, undefined in fact.
          const [failure, socket] = result;
          if (failure === null && socket !== null) this.#watch(socket);
          callback(...result);
        });
      },
    });
    this.#client.on('disconnect', () => {
      this.#connected = false;
      onDisconnect(this);
    });
  }

  get dispatcher(): Dispatcher {
    return this.#client;
  }

  /** Whether the socket ended with an error. */
  get wasReset(): boolean {
    return this.#wasReset;
  }

  get connected(): boolean {
    return this.#connected;
  }

  destroy(): void {
    void this.#client.destroy().catch(() => undefined);
  }

  /** Listens before undici does, so that the mark is set when undici ends the answer. */
  #watch(socket: Socket): void {
    this.#connected = true;
    this.#wasReset = false;
    socket.setNoDelay(true);
    socket.on('error', () => {
      this.#wasReset = true;
    });
  }
}
