import type { Clock } from '@canvasridge/clock';

/** Speed and limits of the weight store. */
export interface WeightStoreBehaviour {
  /** Maximum number of loads started per second. */
  loadsPerSecond: number;
  /** Number of concurrent loads that run at full speed. */
  concurrency: number;
  /** Duration of one load at full speed, in milliseconds. */
  loadMs: number;
}

/** A load takes longer by (concurrent loads / concurrency limit) to this power, once over the limit. */
const OVERLOAD_EXPONENT = 1.5;

/**
 * Emulates the weight store: loads beyond the rate limit wait, and those beyond the concurrency limit slow
 * down.
 */
export class WeightStoreEmulator {
  readonly behaviour: WeightStoreBehaviour;
  readonly #clock: Clock;
  #active = 0;
  #nextStartMs = 0;
  #busyMs = 0;
  fetches = 0;

  constructor(behaviour: WeightStoreBehaviour, clock: Clock) {
    this.behaviour = { ...behaviour };
    this.#clock = clock;
  }

  get active(): number {
    return this.#active;
  }

  /** Total transfer time of all loads divided by the concurrency limit, in milliseconds. */
  get busyMs(): number {
    return this.#busyMs;
  }

  /** Resolves when one set of weights has been transferred. */
  async fetch(): Promise<void> {
    this.fetches += 1;
    this.#active += 1;
    const nowMs = this.#clock.now();
    const startMs = Math.max(nowMs, this.#nextStartMs);
    this.#nextStartMs = startMs + 1000 / this.behaviour.loadsPerSecond;
    const slowdown = Math.max(1, this.#active / this.behaviour.concurrency) ** OVERLOAD_EXPONENT;
    const transferMs = this.behaviour.loadMs * slowdown;
    this.#busyMs += transferMs / this.behaviour.concurrency;
    await this.#clock.sleep(startMs - nowMs + transferMs);
    this.#active -= 1;
  }
}
