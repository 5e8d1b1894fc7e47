/** Several times what leaves a large fleet within the time in which others may still name it. */
const MOST_KEPT = 1024;

/**
 * Backends that left the list, each with the revision of the publishing store up to which that is known. A backend
 * whose entry comes back with a higher revision, as after a lapse, is there again; an older entry of it, as a peer
 * that is behind still lists it, says nothing new. Once the store has come back from a copy, its list may hold those that had
 * left before, until they lapse again.
 */
export class DepartedBackends {
  /** By id, the one that left first at the front. */
  readonly #revisions = new Map<string, number>();
  /** Those that had left when the store came back from a copy, until the end of their return. */
  readonly #beforeEra = new Set<string>();

  has(id: string): boolean {
    return this.#revisions.has(id) || this.#beforeEra.has(id);
  }

  /** Whether a backend had left before the store came back from a copy, which may list it. */
  hadLeftBefore(id: string): boolean {
    return this.#beforeEra.has(id);
  }

  /** Whether the list may hold backends that had left. */
  get isReturning(): boolean {
    return this.#beforeEra.size > 0;
  }

  /** The store has come back from a copy: revisions begin anew. */
  beginEra(): void {
    for (const id of this.#revisions.keys()) {
      this.#beforeEra.add(id);
      this.#revisions.set(id, 0);
    }
  }

  /** Backends that are still listed live. Returns those that had left before the store came back. */
  endReturn(): readonly string[] {
    const ended = [...this.#beforeEra];
    this.#beforeEra.clear();
    return ended;
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
