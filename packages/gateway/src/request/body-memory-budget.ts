/**
 * Bodies up to this size may use the whole budget: many callers send small bodies, and a few of them don't
 * exhaust a node.
 */
const SMALL_BODY_BYTES = 65_536;
/** Share of the budget that larger bodies may use, so that they are refused before small ones. */
const LARGE_BODIES_SHARE = 0.75;

/**
 * Limits the memory that a node uses for request bodies at a time. Each body is kept until its request ends,
 * as it may have to be sent again. Requests over the limit are refused, those with large bodies first: a
 * process that runs out of the machine's memory is killed together with every request that it serves.
 */
export class BodyMemoryBudget {
  readonly #maxBytes: number;
  #reservedBytes = 0;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  get reservedBytes(): number {
    return this.#reservedBytes;
  }

  /**
   * Bytes that have to be released before this many can be reserved; 0 if there is enough.
   * @param bodyBytes size of the whole body, as far as it is known
   */
  lackingBytes(bytes: number, bodyBytes: number): number {
    const allowedBytes = bodyBytes > SMALL_BODY_BYTES ? this.#maxBytes * LARGE_BODIES_SHARE : this.#maxBytes;
    return Math.max(0, this.#reservedBytes + bytes - allowedBytes);
  }

  /** Reserves memory for a part of a body; returns false if there is not enough. */
  reserve(bytes: number, bodyBytes: number): boolean {
    if (this.lackingBytes(bytes, bodyBytes) > 0) return false;
    this.#reservedBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.#reservedBytes -= bytes;
  }
}
