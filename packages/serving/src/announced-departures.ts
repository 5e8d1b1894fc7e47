/** More than a large fleet has backends; beyond it those that are not listed go first. */
const MOST_KEPT = 1024;

/**
 * Backends that said themselves that they leave. That holds for the life of their process, by no clock: their entry in the
 * list may go on to say for many seconds that they are ready, as while the publishing store is away, and may lapse and
 * come back with it.
 */
export class AnnouncedDepartures {
  /** The one that said so first at the front. */
  readonly #ids = new Set<string>();

  get isEmpty(): boolean {
    return this.#ids.size === 0;
  }

  has(id: string): boolean {
    return this.#ids.has(id);
  }

  /** @param isListed tells which backends must not be forgotten, since they may still be chosen */
  add(id: string, isListed: (id: string) => boolean): void {
    this.#ids.add(id);
    if (this.#ids.size <= MOST_KEPT) return;
    for (const known of this.#ids) {
      if (isListed(known)) continue;
      this.#ids.delete(known);
      return;
    }
  }
}
