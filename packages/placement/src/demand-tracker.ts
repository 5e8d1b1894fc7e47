import type { Clock } from '@canvasridge/clock';

/** A count that decays exponentially; `value` is exact at `updatedAtMs`. */
interface Counter {
  value: number;
  updatedAtMs: number;
}

/** Counters below this value are removed. */
const NEGLIGIBLE_COUNT = 1e-3;
/** Number of additions between two sweeps that remove negligible counters. */
const SWEEP_INTERVAL = 4096;

/** Estimates the recent request rate of each adapter with counters that decay by half in each half-life. */
export class DemandTracker {
  readonly #clock: Clock;
  readonly #halfLifeMs: number;
  readonly #counters = new Map<string, Counter>();
  #additions = 0;

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
    this.#additions += 1;
    if (this.#additions % SWEEP_INTERVAL === 0) this.#sweep(nowMs);
  }

  /** Requests per second, estimated from the decayed count. */
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
      if (this.#decayed(counter, nowMs) < NEGLIGIBLE_COUNT) this.#counters.delete(key);
    }
  }
}
