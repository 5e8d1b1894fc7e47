import type { Socket } from 'node:net';
import { JSONRPCClient, JSONRPCServer, JSONRPCServerAndClient } from 'json-rpc-2.0';
import { errorFields, type LimitedEvents } from '@canvasridge/telemetry';
import { OUTGOING_BUDGET, type ConnectionBudget } from './connection-budget.js';
import { readFrames, writeFrame } from './line-framing.js';
import { ReadProgress } from './read-progress.js';
import type { PeerTraffic } from './peer-traffic.js';

/** The methods that one side of a connection offers, by name. Each validates its own parameters. */
export type PeerMethods = Readonly<Record<string, (params: unknown, peer: PeerConnection) => unknown>>;

/** The fields of a JSON-RPC message that identify its method; an answer has only an id. */
interface RpcMessage {
  readonly id?: unknown;
  /** A text in valid messages. */
  readonly method?: unknown;
  readonly result?: unknown;
  readonly error?: unknown;
}

/** Method name counted for answers to requests that were not understood, or of methods that are not offered. */
const UNKNOWN_METHOD = 'unknown';

/** Memory of a parsed message as a multiple of its text: an array takes 56 bytes, and two in the text. */
const PARSED_FACTOR = 28;

/** Memory that a message takes beside its bytes while it waits to be sent. */
const FRAME_OVERHEAD_BYTES = 512;

/** JSON-RPC 2.0 in both directions over one TCP connection between two nodes. */
export class PeerConnection {
  readonly #socket: Socket;
  readonly #rpc: JSONRPCServerAndClient;
  readonly #closeListeners = new Set<() => void>();
  readonly #traffic: PeerTraffic;
  /** Methods of the peer's requests that are not answered yet, by id. */
  readonly #pendingRequests = new Map<unknown, string>();
  /** Bytes waiting to be sent, as last reported to {@link PeerTraffic}. */
  #waitingBytes = 0;
  readonly #readProgress = new ReadProgress();
  /** Messages written that the operating system has not accepted yet, some of those that it just has included. */
  #waitingFrames = 0;
  readonly #onWritten = (): void => {
    this.#waitingFrames -= 1;
    this.#readProgress.took(performance.now(), this.#socket.writableLength === 0);
    this.#updateWaiting();
  };
  readonly #budget: ConnectionBudget;
  #unfinishedBytes = 0;
  /** Length of the messages that are being handled. */
  #callBytes = 0;
  /** That of them which are still handled when those that need no wait are done, as last reported. */
  #reportedCallBytes = 0;
  #isReportDue = false;
  #closed = false;
  #received = 0;
  #receivedAtMs = -Infinity;

  constructor(
    socket: Socket,
    methods: PeerMethods,
    traffic: PeerTraffic,
    events: LimitedEvents,
    onClose: () => void,
    budget: ConnectionBudget = OUTGOING_BUDGET,
  ) {
    this.#socket = socket;
    this.#traffic = traffic;
    this.#budget = budget;
    // Errors of methods are logged where they are called.
    const server = new JSONRPCServer({ errorListener: () => undefined });
    for (const [name, method] of Object.entries(methods)) {
      server.addMethod(name, async (params: unknown) => {
        try {
          return await method(params, this);
        } catch (cause) {
          const from = socket.remoteAddress;
          events.event('error', 'peer.method-failed', name, { from, ...errorFields(cause) });
          throw cause;
        }
      });
    }
    const client = new JSONRPCClient((payload: unknown) => this.#send(payload as RpcMessage));
    this.#rpc = new JSONRPCServerAndClient(server, client, { errorListener: () => undefined });
    socket.setNoDelay(true);
    const onUnreadable = (reason: string, cause?: unknown): void => {
      const fields = cause === undefined ? {} : errorFields(cause);
      events.event('warn', 'peer.unreadable', socket.remoteAddress ?? '', { reason, ...fields });
    };
    const receive = (value: object, lineBytes: number): void => {
      this.#received += 1;
      this.#receivedAtMs = performance.now();
      // Peers choose the names of methods, and each name that is counted is kept for good.
      if (isRequest(value) && Object.hasOwn(methods, value.method))
        this.#pendingRequests.set(value.id, value.method);
      this.#callBytes += lineBytes;
      this.#reportSoon();
      this.#rpc
        .receiveAndSend(value as never)
        .catch((cause: unknown) => {
          onUnreadable('handling failed', cause);
          socket.destroy();
        })
        .finally(() => {
          if (isRequest(value)) this.#pendingRequests.delete(value.id);
          this.#callBytes -= lineBytes;
          this.#reportSoon();
        });
    };
    const onHeld = (bytes: number): void => {
      this.#unfinishedBytes = bytes;
      this.#reportReceived();
    };
    readFrames(socket, { maxLineBytes: budget.maxLineBytes, receive, onHeld, onUnreadable });
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

  /** Number of messages received so far. */
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

  /** Undefined when the peer did not answer in time, or answered with an error. */
  async call(method: string, params: unknown, timeoutMs: number): Promise<unknown> {
    if (this.#closed) return undefined;
    try {
      return await this.#rpc.timeout(timeoutMs).request(method, params);
    } catch {
      return undefined;
    }
  }

  /** Calls the listener once when the connection ends. Returns a function that removes the listener. */
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

  /** Reports the memory of what this node holds for the peer until the peer releases it, or the connection ends. */
  holdUses(bytes: number): void {
    if (!this.#socket.destroyed) this.#budget.onUsesHeld(bytes);
  }

  /** How long the peer has taken nothing of what waits to be sent to it, in milliseconds; 0 if nothing waits. */
  get unreadMs(): number {
    return this.#readProgress.stalledMs(performance.now());
  }

  /** Bytes written to this peer that the operating system has not accepted yet. */
  get waitingBytes(): number {
    return this.#socket.writableLength;
  }

  #send(message: RpcMessage): void {
    const method = this.#methodOf(message);
    const bytes = writeFrame(this.#socket, message, this.#onWritten);
    if (bytes > 0) {
      this.#waitingFrames += 1;
      this.#readProgress.wrote(performance.now());
    }
    this.#traffic.sent(method, bytes);
    this.#updateWaiting();
  }

  #methodOf({ id, method }: RpcMessage): string {
    return typeof method === 'string' ? method : (this.#pendingRequests.get(id) ?? UNKNOWN_METHOD);
  }

  /** Reports what is left of the received messages when those that need no wait have been handled. */
  #reportSoon(): void {
    if (this.#isReportDue) return;
    this.#isReportDue = true;
    setImmediate(() => {
      this.#isReportDue = false;
      this.#reportedCallBytes = this.#callBytes;
      this.#reportReceived();
    });
  }

  #reportReceived(): void {
    if (this.#socket.destroyed) return;
    this.#budget.onReceivedHeld(this.#unfinishedBytes + PARSED_FACTOR * this.#reportedCallBytes);
  }

  #updateWaiting(): void {
    if (this.#closed || this.#socket.destroyed) return;
    const waitingBytes = this.#socket.writableLength;
    this.#traffic.waitingChanged(waitingBytes - this.#waitingBytes);
    this.#waitingBytes = waitingBytes;
    const overheadBytes = waitingBytes === 0 ? 0 : FRAME_OVERHEAD_BYTES * this.#waitingFrames;
    this.#budget.onUnreadHeld(waitingBytes + overheadBytes);
  }
}

/** Whether a message gets an answer. One with a result is an answer itself, whether it has a method or not. */
function isRequest(message: RpcMessage): message is RpcMessage & { readonly method: string } {
  const { id, method, result, error } = message;
  return typeof method === 'string' && id !== undefined && result === undefined && error === undefined;
}
