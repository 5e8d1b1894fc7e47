import type { Clock } from '@canvasridge/clock';

interface Counter {
  value: number;
  updatedAtMs: number;
}

const NEGLIGIBLE = 1e-3;
const SWEEP_EVERY = 4096;

/** Decaying request counters: the recent rate of each adapter, old demand halving with each half-life. */
export class DemandTracker {
  readonly #clock: Clock;
  readonly #halfLifeMs: number;
  readonly #counters = new Map<string, Counter>();
  #added = 0;

  constructor(clock: Clock, halfLifeMs: number) {
    this.#clock = clock;
    this.#halfLifeMs = halfLifeMs;
  }

  add(key: string, amount = 1): void {
    const nowMs = this.#clock.now();
    const counter = this.#counters.get(key);
    if (counter === undefined) this.#counters.set(key, { value: amount, updatedAtMs: nowMs });
    else {
      counter.value = this.#decayed(counter, nowMs) + amount;
      counter.updatedAtMs = nowMs;
    }
    this.#added += 1;
    if (this.#added % SWEEP_EVERY === 0) this.#sweep(nowMs);
  }

  /** Requests a second, estimated from the decayed count. */
  rate(key: string): number {
    const counter = this.#counters.get(key);
    if (counter === undefined) return 0;
    return (this.#decayed(counter, this.#clock.now()) * Math.LN2 * 1000) / this.#halfLifeMs;
  }

  get size(): number {
    return this.#counters.size;
  }

  #decayed(counter: Counter, nowMs: number): number {
    return counter.value * 2 ** (-(nowMs - counter.updatedAtMs) / this.#halfLifeMs);
  }

  #sweep(nowMs: number): void {
    for (const [key, counter] of this.#counters) {
      if (this.#decayed(counter, nowMs) < NEGLIGIBLE) this.#counters.delete(key);
    }
  }
}
