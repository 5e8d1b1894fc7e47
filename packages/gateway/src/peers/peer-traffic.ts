/** What was sent for one method, including answers. */
export interface MethodTraffic {
  readonly method: string;
  readonly messages: number;
  readonly bytes: number;
  readonly largestBytes: number;
}

/**
 * Counts what this node sends to other nodes by method, so that a method that uses up the links shows in one
 * line.
 */
export class PeerTraffic {
  readonly #byMethod = new Map<string, { messages: number; bytes: number; largestBytes: number }>();
  #waitingBytes = 0;
  #maxWaitingBytes = 0;

  sent(method: string, bytes: number): void {
    const known = this.#byMethod.get(method) ?? { messages: 0, bytes: 0, largestBytes: 0 };
    known.messages += 1;
    known.bytes += bytes;
    known.largestBytes = Math.max(known.largestBytes, bytes);
    this.#byMethod.set(method, known);
  }

  /** Bytes written to connections that the operating system has not accepted yet, for all peers together. */
  get waitingBytes(): number {
    return this.#waitingBytes;
  }

  /** @param bytes change of the bytes that wait for one peer */
  waitingChanged(bytes: number): void {
    this.#waitingBytes += bytes;
    this.#maxWaitingBytes = Math.max(this.#maxWaitingBytes, this.#waitingBytes);
  }

  /** Largest {@link waitingBytes} since the last call. */
  takeMostWaitingBytes(): number {
    const maxBytes = this.#maxWaitingBytes;
    this.#maxWaitingBytes = this.#waitingBytes;
    return maxBytes;
  }

  /** What was sent since the last call, the most bytes first. */
  take(): MethodTraffic[] {
    const rows = [...this.#byMethod].map(([method, traffic]) => ({ method, ...traffic }));
    this.#byMethod.clear();
    return rows.sort((a, b) => b.bytes - a.bytes);
  }
}
