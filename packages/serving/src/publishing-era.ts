/** Era of a store that has not published one; it counts as older than every published era. */
export const NO_ERA = -1;

/**
 * The era of the publishing store to which a node's revisions belong. Each restore of the store from a backup
 * begins a new era, as revisions then go back and are assigned a second time.
 */
export class PublishingEra {
  #current = NO_ERA;
  /** Era assumed for peers of older builds, which do not know eras. */
  #assumedForUnnamed = NO_ERA;

  get current(): number {
    return this.#current;
  }

  /**
   * Enters an era if it is newer than the current one.
   * @param isFirst whether nothing is known from an earlier era
   * @returns whether the era was entered
   */
  enter(era: number, isFirst: boolean): boolean {
    if (era <= this.#current) return false;
    this.#current = era;
    if (isFirst) this.#assumedForUnnamed = era;
    return true;
  }

  /**
   * Compares the era of a peer with this node's: negative for an older one, positive for a newer one. A peer
   * of an older build, which does not know eras, names none and compares revisions alone; what it sends
   * counts as current until a new era begins. A value that is not an integer counts as older than all eras.
   */
  compare(era: number | undefined): number {
    const peerEra = era === undefined ? this.#assumedForUnnamed : era;
    return Number.isSafeInteger(peerEra) ? peerEra - this.#current : -Infinity;
  }
}
