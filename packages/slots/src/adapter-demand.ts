import type { Clock } from '@canvasridge/clock';

const HALF_LIFE_MS = 8000;
const FORGOTTEN_RATE = 0.01;
const CLEANING_SIZE = 4096;

interface Entry {
  rate: number;
  atMs: number;
}

/** How often each adapter is asked for: requests, of which each counts half as much after some seconds. */
export class AdapterDemand {
  readonly #clock: Clock;
  readonly #entries = new Map<string, Entry>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  count(key: string): void {
    const nowMs = this.#clock.now();
    const entry = this.#entries.get(key);
    if (entry === undefined) {
      this.#entries.set(key, { rate: 1, atMs: nowMs });
      if (this.#entries.size > CLEANING_SIZE) this.#clean();
      return;
    }
    entry.rate = decayed(entry, nowMs) + 1;
    entry.atMs = nowMs;
  }

  rate(key: string): number {
    const entry = this.#entries.get(key);
    return entry === undefined ? 0 : decayed(entry, this.#clock.now());
  }

  #clean(): void {
    const nowMs = this.#clock.now();
    for (const [key, entry] of this.#entries) {
      if (decayed(entry, nowMs) < FORGOTTEN_RATE) this.#entries.delete(key);
    }
  }
}

function decayed(entry: Entry, nowMs: number): number {
  return entry.rate * 0.5 ** ((nowMs - entry.atMs) / HALF_LIFE_MS);
}
