import type { Socket } from 'node:net';

/** Chunks of a request that are handled before its connection has to wait for its turn. */
const CHUNKS_A_TURN = 256;

/** What of a connection is used. */
export type PacedSocket = Pick<Socket, 'pause' | 'resume' | 'destroyed' | 'on' | 'off'>;

/**
 * Lets connections take turns in which much work arrives as little data. Each chunk of a body costs a few microseconds
 * however short it is, and Node.js handles up to 2 MiB of a connection at once: that is some hundred thousand chunks of
 * one byte, during which nothing else is done. Of the connections that had their share, one is read in each turn of the
 * event loop.
 */
export class ReadTurns {
  readonly #nextTurn: (callback: () => void) => void;
  /** With the listener that keeps each of them paused. */
  readonly #waiting = new Map<PacedSocket, () => void>();

  constructor(nextTurn: (callback: () => void) => void = setImmediate) {
    this.#nextTurn = nextTurn;
  }

  /** Returns what is to be called for each chunk of a request on this connection. */
  counter(socket: PacedSocket): () => void {
    let chunks = 0;
    return () => {
      chunks += 1;
      if (chunks % CHUNKS_A_TURN === 0) this.#wait(socket);
    };
  }

  #wait(socket: PacedSocket): void {
    if (this.#waiting.has(socket) || socket.destroyed) return;
    // A request that was read resumes its connection, so it has to be paused again.
    const pause = (): void => void socket.pause();
    this.#waiting.set(socket, pause);
    socket.on('resume', pause);
    socket.pause();
    if (this.#waiting.size === 1) this.#nextTurn(() => this.#resumeOne());
  }

  #resumeOne(): void {
    for (const [socket, pause] of this.#waiting) {
      this.#waiting.delete(socket);
      socket.off('resume', pause);
      if (socket.destroyed) continue;
      socket.resume();
      break;
    }
    if (this.#waiting.size > 0) this.#nextTurn(() => this.#resumeOne());
  }
}
