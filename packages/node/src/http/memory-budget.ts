export interface MemoryBudgetOptions {
  readonly limitBytes: number;
  /** Called for each holder that is made to give way, with what it held. */
  readonly onGivenWay?: (heldBytes: number, budget: MemoryBudget) => void;
  /** Called when there is not enough memory, also if all who may have to give way did. */
  readonly onRefused?: (neededBytes: number, budget: MemoryBudget) => void;
}

/**
 * Memory that one exchange holds of a budget. While it may have to give way, its place in the order is that of its last
 * progress.
 */
export interface MemoryHolder {
  readonly bytes: number;
  /** Changes what is held; returns false, and changes nothing, if that would exceed the budget. */
  resize(bytes: number): boolean;
  /** Puts the holder behind all others in the order in which they give way. */
  progressed(): void;
  /** From now on the holder doesn't give way. */
  keep(): void;
  /** Frees what is held. Without effect after the first call. */
  release(): void;
}

/**
 * Limits the memory that exchanges hold together. If it is used up, those that may give way do so: first the one that has
 * made no progress for longest.
 */
export class MemoryBudget {
  readonly limitBytes: number;
  readonly #options: MemoryBudgetOptions;
  /** Those that may have to give way, the one without progress for longest first. */
  readonly #yielding = new Set<Holder>();
  #usedBytes = 0;
  #yieldingBytes = 0;

  constructor(options: MemoryBudgetOptions) {
    this.limitBytes = options.limitBytes;
    this.#options = options;
  }

  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** @param giveWay called at most once; what is held has been freed before */
  open(giveWay: () => void): MemoryHolder {
    const holder: Holder = new Holder(giveWay, {
      resize: (bytes) => this.#resize(holder, bytes),
      progressed: () => this.#moveLast(holder),
      keep: () => this.#leaveOrder(holder),
      release: () => this.#release(holder),
    });
    this.#yielding.add(holder);
    return holder;
  }

  #resize(holder: Holder, bytes: number): boolean {
    if (holder.released) return false;
    const growth = bytes - holder.bytes;
    if (growth > 0 && !this.#makeRoom(holder, growth)) return false;
    this.#usedBytes += growth;
    if (this.#yielding.has(holder)) this.#yieldingBytes += growth;
    holder.bytes = bytes;
    return true;
  }

  #makeRoom(holder: Holder, neededBytes: number): boolean {
    const ownBytes = this.#yielding.has(holder) ? holder.bytes : 0;
    const leastUsed = this.#usedBytes - this.#yieldingBytes + ownBytes;
    if (leastUsed + neededBytes > this.limitBytes) {
      this.#options.onRefused?.(neededBytes, this);
      return false;
    }
    for (const other of this.#yielding) {
      if (this.#usedBytes + neededBytes <= this.limitBytes) break;
      if (other === holder || other.bytes === 0) continue;
      const heldBytes = other.bytes;
      this.#release(other);
      this.#options.onGivenWay?.(heldBytes, this);
      other.giveWay();
    }
    return true;
  }

  #moveLast(holder: Holder): void {
    if (this.#yielding.delete(holder)) this.#yielding.add(holder);
  }

  #leaveOrder(holder: Holder): void {
    if (this.#yielding.delete(holder)) this.#yieldingBytes -= holder.bytes;
  }

  #release(holder: Holder): void {
    if (holder.released) return;
    this.#leaveOrder(holder);
    this.#usedBytes -= holder.bytes;
    holder.bytes = 0;
    holder.released = true;
  }
}

class Holder implements MemoryHolder {
  bytes = 0;
  released = false;
  readonly resize: MemoryHolder['resize'];
  readonly progressed: MemoryHolder['progressed'];
  readonly keep: MemoryHolder['keep'];
  readonly release: MemoryHolder['release'];

  constructor(
    readonly giveWay: () => void,
    actions: Pick<MemoryHolder, 'resize' | 'progressed' | 'keep' | 'release'>,
  ) {
    this.resize = actions.resize;
    this.progressed = actions.progressed;
    this.keep = actions.keep;
    this.release = actions.release;
  }
}
