/** The era of a store that names none, which is older than each that is named. */
export const NO_ERA = -1;

/**
 * The era of the publishing store that a node's revisions belong to. The store begins a new one when it comes back from a
 * copy: revisions go back, and are given out again.
 */
export class PublishingEra {
  #current = NO_ERA;
  /** What a node of a build that reads no era tells counts as of this one. */
  #unnamed = NO_ERA;

  get current(): number {
    return this.#current;
  }

  /**
   * Enters an era unless it is no newer than the one before.
   * @param isFirst whether nothing is known of an earlier one
   * @returns whether it was entered
   */
  enter(era: number, isFirst: boolean): boolean {
    if (era <= this.#current) return false;
    this.#current = era;
    if (isFirst) this.#unnamed = era;
    return true;
  }

  /**
   * How the era of a peer relates to this node's: negative for an older one, positive for a newer one. A peer of a build that
   * reads none goes by revisions alone: it is believed only until a new era begins. What is no whole number counts as older
   * than all.
   */
  compare(era: number | undefined): number {
    const told = era === undefined ? this.#unnamed : era;
    return Number.isSafeInteger(told) ? told - this.#current : -Infinity;
  }
}
