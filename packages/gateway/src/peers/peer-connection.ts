import type { Socket } from 'node:net';
import { JSONRPCClient, JSONRPCServer, JSONRPCServerAndClient } from 'json-rpc-2.0';
import { readFrames, writeFrame } from './line-framing.js';

/** The methods of one side of a connection, by name. Each checks its parameters itself. */
export type PeerMethods = Readonly<Record<string, (params: unknown, peer: PeerConnection) => unknown>>;

/** JSON-RPC 2.0 in both directions over one TCP connection between two nodes. */
export class PeerConnection {
  readonly #socket: Socket;
  readonly #rpc: JSONRPCServerAndClient;
  readonly #closeListeners = new Set<() => void>();
  #closed = false;
  #received = 0;
  #receivedAtMs = -Infinity;

  constructor(socket: Socket, methods: PeerMethods, onClose: () => void) {
    this.#socket = socket;
    const server = new JSONRPCServer({ errorListener: () => undefined });
    for (const [name, method] of Object.entries(methods)) {
      server.addMethod(name, (params: unknown) => method(params, this));
    }
    const client = new JSONRPCClient((payload: unknown) => writeFrame(socket, payload));
    this.#rpc = new JSONRPCServerAndClient(server, client, { errorListener: () => undefined });
    socket.setNoDelay(true);
    readFrames(socket, (value) => {
      this.#received += 1;
      this.#receivedAtMs = performance.now();
      this.#rpc.receiveAndSend(value as never).catch(() => undefined);
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.#closed = true;
      this.#rpc.rejectAllPendingRequests('connection closed');
      for (const listener of [...this.#closeListeners]) listener();
      onClose();
    });
  }

  /** Messages received so far. */
  get received(): number {
    return this.#received;
  }

  /** Milliseconds since anything was received; Infinity if nothing was. */
  get silentMs(): number {
    return performance.now() - this.#receivedAtMs;
  }

  get closed(): boolean {
    return this.#closed;
  }

  /** Undefined when the peer gave no answer in time, or an error. */
  async call(method: string, params: unknown, timeoutMs: number): Promise<unknown> {
    if (this.#closed) return undefined;
    try {
      return await this.#rpc.timeout(timeoutMs).request(method, params);
    } catch {
      return undefined;
    }
  }

  /** Calls back once when the connection ends. Returns what takes the listener away. */
  onClosed(listener: () => void): () => void {
    this.#closeListeners.add(listener);
    return () => this.#closeListeners.delete(listener);
  }

  notify(method: string, params: unknown): void {
    if (!this.#closed) this.#rpc.notify(method, params);
  }

  close(): void {
    this.#socket.destroy();
  }
}
