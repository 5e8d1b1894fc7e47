import type { Socket } from 'node:net';
import { JSONRPCClient, JSONRPCServer, JSONRPCServerAndClient } from 'json-rpc-2.0';
import { readFrames, writeFrame } from './line-framing.js';
import type { PeerTraffic } from './peer-traffic.js';

/** The methods of one side of a connection, by name. Each checks its parameters itself. */
export type PeerMethods = Readonly<Record<string, (params: unknown, peer: PeerConnection) => unknown>>;

/** The members of a JSON-RPC message by which its method is known; an answer has only an id. */
interface RpcMessage {
  readonly id?: unknown;
  readonly method?: string;
}

/** Stands for answers to questions that were not understood. */
const UNKNOWN_METHOD = 'unknown';

/** JSON-RPC 2.0 in both directions over one TCP connection between two nodes. */
export class PeerConnection {
  readonly #socket: Socket;
  readonly #rpc: JSONRPCServerAndClient;
  readonly #closeListeners = new Set<() => void>();
  readonly #traffic: PeerTraffic;
  /** Methods of questions of the peer that are not answered yet, by id. */
  readonly #questions = new Map<unknown, string>();
  /** Bytes that wait to be sent, as last told to {@link PeerTraffic}. */
  #waitingBytes = 0;
  #closed = false;
  #received = 0;
  #receivedAtMs = -Infinity;

  constructor(socket: Socket, methods: PeerMethods, traffic: PeerTraffic, onClose: () => void) {
    this.#socket = socket;
    this.#traffic = traffic;
    const server = new JSONRPCServer({ errorListener: () => undefined });
    for (const [name, method] of Object.entries(methods)) {
      server.addMethod(name, (params: unknown) => method(params, this));
    }
    const client = new JSONRPCClient((payload: unknown) => this.#send(payload as RpcMessage));
    this.#rpc = new JSONRPCServerAndClient(server, client, { errorListener: () => undefined });
    socket.setNoDelay(true);
    readFrames(socket, (value) => {
      this.#received += 1;
      this.#receivedAtMs = performance.now();
      this.#noteQuestion(value as RpcMessage);
      this.#rpc.receiveAndSend(value as never).catch(() => undefined);
    });
    socket.on('drain', () => this.#updateWaiting());
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.#closed = true;
      this.#traffic.waitingChanged(-this.#waitingBytes);
      this.#waitingBytes = 0;
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

  /** Bytes written to this peer that the system has not yet taken. */
  get waitingBytes(): number {
    return this.#socket.writableLength;
  }

  #send(message: RpcMessage): void {
    const method = message.method ?? this.#questions.get(message.id) ?? UNKNOWN_METHOD;
    if (message.method === undefined) this.#questions.delete(message.id);
    this.#traffic.sent(method, writeFrame(this.#socket, message));
    this.#updateWaiting();
  }

  #noteQuestion({ id, method }: RpcMessage): void {
    if (method !== undefined && id !== undefined) this.#questions.set(id, method);
  }

  #updateWaiting(): void {
    if (this.#closed) return;
    const waitingBytes = this.#socket.writableLength;
    this.#traffic.waitingChanged(waitingBytes - this.#waitingBytes);
    this.#waitingBytes = waitingBytes;
  }
}
