/** What was sent under one method, answers included. */
export interface MethodTraffic {
  readonly method: string;
  readonly messages: number;
  readonly bytes: number;
  readonly largestBytes: number;
}

/** Counts what this node sends to other nodes, by method, so that a method that takes the links shows in one line. */
export class PeerTraffic {
  readonly #byMethod = new Map<string, { messages: number; bytes: number; largestBytes: number }>();
  #waitingBytes = 0;
  #mostWaitingBytes = 0;

  sent(method: string, bytes: number): void {
    const known = this.#byMethod.get(method) ?? { messages: 0, bytes: 0, largestBytes: 0 };
    known.messages += 1;
    known.bytes += bytes;
    known.largestBytes = Math.max(known.largestBytes, bytes);
    this.#byMethod.set(method, known);
  }

  /** Bytes written to connections and not yet taken by the system, over all peers. */
  get waitingBytes(): number {
    return this.#waitingBytes;
  }

  /** @param bytes by how much what waits for one peer has changed */
  waitingChanged(bytes: number): void {
    this.#waitingBytes += bytes;
    this.#mostWaitingBytes = Math.max(this.#mostWaitingBytes, this.#waitingBytes);
  }

  /** Largest {@link waitingBytes} since the last call. */
  takeMostWaitingBytes(): number {
    const most = this.#mostWaitingBytes;
    this.#mostWaitingBytes = this.#waitingBytes;
    return most;
  }

  /** What was sent since the last call, the most bytes first. */
  take(): MethodTraffic[] {
    const rows = [...this.#byMethod].map(([method, traffic]) => ({ method, ...traffic }));
    this.#byMethod.clear();
    return rows.sort((a, b) => b.bytes - a.bytes);
  }
}
