import type { Clock } from '@canvasridge/clock';

const HALF_LIFE_MS = 8000;
/** Adapters with a lower rate are removed when entries are pruned. */
const PRUNE_BELOW_RATE = 0.01;
/** Number of entries above which a new one triggers pruning. */
const PRUNE_ABOVE_SIZE = 4096;

interface Entry {
  rate: number;
  updatedMs: number;
}

/** Counts the recent requests for each adapter, with exponential decay. */
export class AdapterPopularity {
  readonly #clock: Clock;
  readonly #rates = new Map<string, Entry>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records a request for an adapter. */
  recordRequest(key: string): void {
    const nowMs = this.#clock.now();
    const entry = this.#rates.get(key);
    if (entry === undefined) {
      this.#rates.set(key, { rate: 1, updatedMs: nowMs });
      if (this.#rates.size > PRUNE_ABOVE_SIZE) this.#prune();
      return;
    }
    entry.rate = decayed(entry, nowMs) + 1;
    entry.updatedMs = nowMs;
  }

  /** The decayed number of requests for an adapter. */
  rate(key: string): number {
    const entry = this.#rates.get(key);
    return entry === undefined ? 0 : decayed(entry, this.#clock.now());
  }

  #prune(): void {
    const nowMs = this.#clock.now();
    for (const [key, entry] of this.#rates) {
      if (decayed(entry, nowMs) < PRUNE_BELOW_RATE) this.#rates.delete(key);
    }
  }
}

function decayed(entry: Entry, nowMs: number): number {
  return entry.rate * 0.5 ** ((nowMs - entry.updatedMs) / HALF_LIFE_MS);
}
