const LINE_FEED = 0x0a;
const FIRST_CAPACITY_BYTES = 1024;

/** The result of {@link LineBuffer.push}: whole lines, or that a line is longer than the limit. */
export type LinesRead =
  { readonly kind: 'lines'; readonly lines: readonly Buffer[] } | { readonly kind: 'too-long' };

/**
 * Splits received bytes at line feeds. The bytes of an unfinished line are copied into one buffer that doubles when it
 * is full: a kept chunk takes some hundred bytes more than it has, and joining all of them for each new one takes time
 * that grows with the square of the line.
 */
export class LineBuffer {
  readonly #maxLineBytes: number;
  #unfinished = Buffer.alloc(0);
  #length = 0;

  constructor(maxLineBytes: number) {
    this.#maxLineBytes = maxLineBytes;
  }

  /** Memory of the unfinished line, which is more than has arrived of it. */
  get heldBytes(): number {
    return this.#unfinished.length;
  }

  /** The lines that the chunk completes, without their line feeds; they may share its memory. */
  push(chunk: Buffer): LinesRead {
    const lines: Buffer[] = [];
    let start = 0;
    for (let end = chunk.indexOf(LINE_FEED); end !== -1; end = chunk.indexOf(LINE_FEED, start)) {
      const line = this.#complete(chunk.subarray(start, end));
      if (line.length > this.#maxLineBytes) return { kind: 'too-long' };
      lines.push(line);
      start = end + 1;
    }
    const rest = chunk.subarray(start);
    if (this.#length + rest.length > this.#maxLineBytes) return { kind: 'too-long' };
    this.#append(rest);
    return { kind: 'lines', lines };
  }

  #complete(end: Buffer): Buffer {
    if (this.#length === 0) return end;
    const line = Buffer.concat([this.#unfinished.subarray(0, this.#length), end]);
    this.#unfinished = Buffer.alloc(0);
    this.#length = 0;
    return line;
  }

  #append(rest: Buffer): void {
    const length = this.#length + rest.length;
    if (length > this.#unfinished.length) {
      const capacity = Math.max(length, 2 * this.#unfinished.length, FIRST_CAPACITY_BYTES);
      const grown = Buffer.alloc(Math.min(capacity, this.#maxLineBytes));
      this.#unfinished.copy(grown, 0, 0, this.#length);
      this.#unfinished = grown;
    }
    rest.copy(this.#unfinished, this.#length);
    this.#length = length;
  }
}
