/**
 * The era of the publishing store that a node's revisions belong to. The store begins a new one when it comes back from a
 * copy: revisions go back, and are given out again.
 */
export class PublishingEra {
  #first: number | undefined;
  #current: number | undefined;

  /** Undefined as long as none was named, as by a store that has none. */
  get current(): number | undefined {
    return this.#current;
  }

  /** Returns whether this era is newer than the one before. */
  enter(era: number): boolean {
    if (this.#current !== undefined && era <= this.#current) return false;
    this.#first ??= era;
    this.#current = era;
    return true;
  }

  /**
   * How an era that a peer names relates to this node's: negative for an older one, positive for a newer one. A peer that names
   * none may be of a build that reads none, and goes by revisions alone: it is believed only as long as no new era has begun.
   * What is no whole number counts as older than all.
   */
  compare(era: number | undefined): number {
    if (era !== undefined && !Number.isSafeInteger(era)) return -Infinity;
    const told = era ?? this.#first;
    if (told === this.#current) return 0;
    return (told ?? -Infinity) - (this.#current ?? -Infinity);
  }
}
