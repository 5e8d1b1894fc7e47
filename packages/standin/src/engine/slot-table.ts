/** State of one adapter slot. */
interface Slot {
  state: 'loading' | 'loaded';
  /** Number of waiting and running generations. */
  running: number;
}

/** Adapter slots of an engine, with the number of waiting and running generations of each adapter. */
export class SlotTable {
  readonly #capacity: number;
  readonly #slots = new Map<string, Slot>();

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  isLoaded(key: string): boolean {
    return this.#slots.get(key)?.state === 'loaded';
  }

  has(key: string): boolean {
    return this.#slots.has(key);
  }

  get isFull(): boolean {
    return this.#slots.size >= this.#capacity;
  }

  beginLoad(key: string): void {
    this.#slots.set(key, { state: 'loading', running: 0 });
  }

  finishLoad(key: string): void {
    const slot = this.#slots.get(key);
    if (slot !== undefined) slot.state = 'loaded';
  }

  remove(key: string): void {
    this.#slots.delete(key);
  }

  runningCount(key: string): number {
    return this.#slots.get(key)?.running ?? 0;
  }

  adjustRunning(key: string, change: number): void {
    const slot = this.#slots.get(key);
    if (slot !== undefined) slot.running += change;
  }

  /** All loaded adapters with their numbers of generations. */
  loadedAdapters(): { readonly key: string; readonly running: number }[] {
    return [...this.#slots]
      .filter(([, slot]) => slot.state === 'loaded')
      .map(([key, slot]) => ({ key, running: slot.running }));
  }
}
