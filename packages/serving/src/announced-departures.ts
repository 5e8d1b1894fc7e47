/**
 * Maximum number of remembered backends; a large fleet has fewer. Beyond it, backends that are not listed are
 * forgotten first.
 */
const MAX_REMEMBERED = 1024;

/**
 * Backends that announced in an answer that they are shutting down. An announcement has no time limit and
 * applies as long as the backend's process lives. Its entry in the published list may say for many more
 * seconds that it is ready, for example while the publishing store is unavailable, and may expire and be
 * written again once the store is back.
 */
export class AnnouncedDepartures {
  /** In the order of the announcements. */
  readonly #ids = new Set<string>();

  get isEmpty(): boolean {
    return this.#ids.size === 0;
  }

  has(id: string): boolean {
    return this.#ids.has(id);
  }

  /**
   * @param isListed returns whether a backend is listed: it may still be chosen for requests, so it must not
   * be forgotten
   */
  add(id: string, isListed: (id: string) => boolean): void {
    this.#ids.add(id);
    if (this.#ids.size <= MAX_REMEMBERED) return;
    for (const known of this.#ids) {
      if (isListed(known)) continue;
      this.#ids.delete(known);
      return;
    }
  }
}
