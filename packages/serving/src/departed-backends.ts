/** Several times the number of backends that leave a large fleet while peers may still list them. */
const MAX_REMEMBERED = 1024;

/**
 * Backends that were removed from the published list, each with the revision of the publishing store as of
 * which it was absent. An entry with a higher revision, such as one that was written again after it had
 * expired, lists the backend again; an older entry, from a peer that is behind, is ignored. A store that was
 * restored from a backup may list backends that had left before the restore, until their entries expire
 * again.
 */
export class DepartedBackends {
  /** By id, in the order of removal. */
  readonly #revisions = new Map<string, number>();
  /**
   * Backends that had left when the store was restored from a backup; cleared when their restored entries
   * must have expired.
   */
  readonly #leftBeforeRestore = new Set<string>();

  has(id: string): boolean {
    return this.#revisions.has(id) || this.#leftBeforeRestore.has(id);
  }

  /** Whether a backend had left before the store was restored from a backup, which may list it again. */
  hadLeftBeforeRestore(id: string): boolean {
    return this.#leftBeforeRestore.has(id);
  }

  /** Whether the list may hold entries, restored from a backup, of backends that had left. */
  get mayListDeparted(): boolean {
    return this.#leftBeforeRestore.size > 0;
  }

  /**
   * Called when the store was restored from a backup: revisions of the new era are not comparable with
   * earlier ones.
   */
  beginEra(): void {
    for (const id of this.#revisions.keys()) {
      this.#leftBeforeRestore.add(id);
      this.#revisions.set(id, 0);
    }
  }

  /**
   * Called when the entries of dead backends must have expired after a restore, so that all backends still
   * listed are alive.
   * @returns the backends that had left before the restore
   */
  endRestore(): readonly string[] {
    const returning = [...this.#leftBeforeRestore];
    this.#leftBeforeRestore.clear();
    return returning;
  }

  /** Whether an entry is older than the removal of its backend. */
  isOutdated(id: string, revision: number): boolean {
    return revision <= (this.#revisions.get(id) ?? -Infinity);
  }

  /** Records that a backend is absent from the list as of `revision`. */
  record(id: string, revision: number): void {
    const known = this.#revisions.get(id) ?? -Infinity;
    this.#revisions.delete(id);
    this.#revisions.set(id, Math.max(known, revision));
    if (this.#revisions.size <= MAX_REMEMBERED) return;
    const oldest = this.#revisions.keys().next();
    if (oldest.done !== true) this.#revisions.delete(oldest.value);
  }

  /** Called when the backend is listed again. */
  forget(id: string): void {
    this.#revisions.delete(id);
  }
}
