/**
 * Budget of the memory that some holders take together. Over it, those that take most give way until the others are
 * within it, trusted ones after all others.
 */
export class HeldBytes<T> {
  readonly #maxBytes: number;
  readonly #isTrusted: (holder: T) => boolean;
  readonly #byHolder = new Map<T, number>();
  #totalBytes = 0;

  constructor(maxBytes: number, isTrusted: (holder: T) => boolean) {
    this.#maxBytes = maxBytes;
    this.#isTrusted = isTrusted;
  }

  get totalBytes(): number {
    return this.#totalBytes;
  }

  /**
   * Records what a holder takes now.
   * @returns those that have to give way, which are no longer counted
   */
  set(holder: T, bytes: number): readonly T[] {
    this.#totalBytes += bytes - (this.#byHolder.get(holder) ?? 0);
    if (bytes === 0) this.#byHolder.delete(holder);
    else this.#byHolder.set(holder, bytes);
    const givingWay: T[] = [];
    while (this.#totalBytes > this.#maxBytes) {
      const largest = this.#largest();
      if (largest === undefined) break;
      this.remove(largest);
      givingWay.push(largest);
    }
    return givingWay;
  }

  remove(holder: T): void {
    this.#totalBytes -= this.#byHolder.get(holder) ?? 0;
    this.#byHolder.delete(holder);
  }

  /** The holder of most among those that are not trusted; among all if there are none. */
  #largest(): T | undefined {
    let largest: T | undefined;
    let mostBytes = 0;
    let isLargestTrusted = true;
    for (const [holder, bytes] of this.#byHolder) {
      const isTrusted = this.#isTrusted(holder);
      if (isTrusted && !isLargestTrusted) continue;
      if (isTrusted === isLargestTrusted && bytes <= mostBytes) continue;
      largest = holder;
      mostBytes = bytes;
      isLargestTrusted = isTrusted;
    }
    return largest;
  }
}
