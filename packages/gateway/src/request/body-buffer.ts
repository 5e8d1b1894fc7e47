const MIN_CAPACITY_BYTES = 1024;
const NO_BYTES: Buffer = Buffer.alloc(0);

/**
 * A request body as it arrives, copied into one buffer that grows with it. It keeps no chunk that it is given: a chunk is
 * an object of its own, which for a chunk of one byte takes some hundred times as much.
 */
export class BodyBuffer {
  readonly #announcedBytes: number;
  readonly #limitBytes: number;
  #buffer: Buffer = NO_BYTES;
  #size = 0;

  /**
   * @param announcedBytes size that the request announced; 0 if it announced none
   * @param limitBytes size of the largest body
   */
  constructor(announcedBytes: number, limitBytes: number) {
    this.#announcedBytes = announcedBytes;
    this.#limitBytes = limitBytes;
  }

  /** Bytes received so far. */
  get size(): number {
    return this.#size;
  }

  /** Bytes of memory that this body takes now. */
  get capacity(): number {
    return this.#buffer.length;
  }

  /** Bytes of memory that it takes with another chunk of this size, which has to be inside the limit. */
  capacityWith(chunkBytes: number): number {
    const needed = this.#size + chunkBytes;
    if (needed <= this.capacity) return this.capacity;
    if (this.#announcedBytes > 0) return Math.min(this.#announcedBytes, 2 * needed);
    return Math.min(this.#limitBytes, Math.max(MIN_CAPACITY_BYTES, 2 * this.capacity, needed));
  }

  append(chunk: Buffer): void {
    const capacity = this.capacityWith(chunk.length);
    if (capacity > this.capacity) {
      // A buffer from the pool of Node.js would keep memory that it shares with others.
      const grown = Buffer.allocUnsafeSlow(capacity);
      this.#buffer.copy(grown, 0, 0, this.#size);
      this.#buffer = grown;
    }
    chunk.copy(this.#buffer, this.#size);
    this.#size += chunk.length;
  }

  /** The bytes so far. They share the memory of this body. */
  get bytes(): Buffer {
    return this.#buffer.subarray(0, this.#size);
  }
}
