const FIRST_SEGMENT_BYTES = 4096;
const MAX_SEGMENT_BYTES = 65_536;

/**
 * Bytes that arrive in parts of any size, copied into segments of its own: a part keeps neither an object for itself nor
 * the buffer alive that it was read into. Segments grow by doubling up to 64 KiB.
 */
export class SegmentedBuffer {
  #segments: Buffer[] = [];
  /** Bytes used of the last segment. */
  #used = 0;
  #length = 0;
  #capacity = 0;

  get length(): number {
    return this.#length;
  }

  /**
   * Memory that is held after `add` of that many bytes.
   * @param expectedBytes size of the whole, as far as it is known
   */
  capacityFor(bytes: number, expectedBytes: number): number {
    let capacity = this.#capacity;
    while (capacity < this.#length + bytes) capacity += nextSegment(capacity, expectedBytes);
    return capacity;
  }

  add(part: Uint8Array, expectedBytes: number): void {
    for (let taken = 0; taken < part.length;) {
      if (this.#length === this.#capacity) this.#addSegment(expectedBytes);
      const segment = this.#segments.at(-1) as Buffer;
      const bytes = Math.min(part.length - taken, segment.length - this.#used);
      segment.set(part.subarray(taken, taken + bytes), this.#used);
      this.#used += bytes;
      this.#length += bytes;
      taken += bytes;
    }
  }

  /** All bytes in one buffer that no other data shares; the segments are given up. */
  take(): Buffer {
    const segments = this.#segments;
    const length = this.#length;
    this.clear();
    const [first] = segments;
    if (first !== undefined && segments.length === 1) return first.subarray(0, length);
    const whole = Buffer.allocUnsafeSlow(length);
    let at = 0;
    for (const segment of segments) at += segment.copy(whole, at, 0, length - at);
    return whole;
  }

  clear(): void {
    this.#segments = [];
    this.#used = 0;
    this.#length = 0;
    this.#capacity = 0;
  }

  #addSegment(expectedBytes: number): void {
    const bytes = nextSegment(this.#capacity, expectedBytes);
    this.#segments.push(Buffer.allocUnsafeSlow(bytes));
    this.#capacity += bytes;
    this.#used = 0;
  }
}

function nextSegment(capacity: number, expectedBytes: number): number {
  const doubled = Math.min(Math.max(capacity, FIRST_SEGMENT_BYTES), MAX_SEGMENT_BYTES);
  return expectedBytes > capacity ? Math.min(doubled, expectedBytes - capacity) : doubled;
}
