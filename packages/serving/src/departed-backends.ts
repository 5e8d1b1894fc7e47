/** Several times what leaves a large fleet within the time in which others may still name it. */
const MOST_KEPT = 1024;

/**
 * Backends that left the list, each with the revision of the publishing store up to which that is known. A backend
 * whose entry comes back with a higher revision, as after a lapse, is there again; an older entry of it, as a peer
 * that is behind still lists it, says nothing new.
 */
export class DepartedBackends {
  /** By id, the one that left first at the front. */
  readonly #revisions = new Map<string, number>();

  has(id: string): boolean {
    return this.#revisions.has(id);
  }

  /** Whether an entry was written before its backend left. */
  isOutdated(id: string, revision: number): boolean {
    return revision <= (this.#revisions.get(id) ?? -Infinity);
  }

  note(id: string, revision: number): void {
    const known = this.#revisions.get(id) ?? -Infinity;
    this.#revisions.delete(id);
    this.#revisions.set(id, Math.max(known, revision));
    if (this.#revisions.size <= MOST_KEPT) return;
    const oldest = this.#revisions.keys().next();
    if (oldest.done !== true) this.#revisions.delete(oldest.value);
  }

  /** The backend is listed again. */
  forget(id: string): void {
    this.#revisions.delete(id);
  }
}
