/** Smaller chunks are copied together: each one kept by itself costs more than its bytes. */
const SMALL_CHUNK_BYTES = 4096;
const MIN_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 65_536;

/**
 * Keeps bytes that arrive in chunks of any size, in few pieces: at most about twice the bytes in memory, however small
 * the chunks are, and whatever larger buffers they are parts of.
 */
export class ChunkBuffer {
  #pieces: Buffer[] = [];
  #length = 0;
  /** The last piece, if small chunks can still be added to it. */
  #block: Buffer | undefined;
  #blockUsed = 0;

  /** In bytes. */
  get length(): number {
    return this.#length;
  }

  /** The last byte; undefined if there is none. */
  get lastByte(): number | undefined {
    if (this.#block !== undefined) return this.#block[this.#blockUsed - 1];
    return this.#pieces.at(-1)?.at(-1);
  }

  push(chunk: Buffer): void {
    if (chunk.length === 0) return;
    this.#length += chunk.length;
    if (chunk.length >= SMALL_CHUNK_BYTES && 2 * chunk.length >= chunk.buffer.byteLength) {
      this.#closeBlock();
      this.#pieces.push(chunk);
    } else this.#copy(chunk);
  }

  /** Returns all bytes, in order, and keeps none. */
  take(): Buffer[] {
    this.#closeBlock();
    const pieces = this.#pieces;
    this.#pieces = [];
    this.#length = 0;
    return pieces;
  }

  #copy(chunk: Buffer): void {
    if (this.#block === undefined || this.#block.length - this.#blockUsed < chunk.length) {
      this.#closeBlock();
      const blockBytes = Math.min(Math.max(this.#length, MIN_BLOCK_BYTES), MAX_BLOCK_BYTES);
      this.#block = Buffer.allocUnsafeSlow(Math.max(blockBytes, chunk.length));
    }
    chunk.copy(this.#block, this.#blockUsed);
    this.#blockUsed += chunk.length;
  }

  #closeBlock(): void {
    if (this.#block === undefined) return;
    this.#pieces.push(this.#block.subarray(0, this.#blockUsed));
    this.#block = undefined;
    this.#blockUsed = 0;
  }
}
