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
   * Reserves memory for a part of a body; returns false if there is not enough.
   * @param bodyBytes size of the whole body, as far as it is known
   */
  reserve(bytes: number, bodyBytes: number): boolean {
    const allowedBytes = bodyBytes > SMALL_BODY_BYTES ? this.#maxBytes * LARGE_BODIES_SHARE : this.#maxBytes;
    if (this.#reservedBytes + bytes > allowedBytes) return false;
    this.#reservedBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.#reservedBytes -= bytes;
  }
}
