import type { Clock } from '@canvasridge/clock';

/** Limits of the weight store. */
export interface WeightStoreBehaviour {
  /** Loads a second that it serves at full speed. */
  loadsPerSecond: number;
  /** Loads at once that it serves at full speed. */
  concurrency: number;
  /** Length of one load at full speed, in milliseconds. */
  loadMs: number;
}

const OVERLOAD_EXPONENT = 1.5;

/** Weight store with a rate and a concurrency limit; beyond either it gets slower. */
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

  /** Time integral of active loads over the concurrency limit, in milliseconds. */
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
    const crowding = Math.max(1, this.#active / this.behaviour.concurrency) ** OVERLOAD_EXPONENT;
    const transferMs = this.behaviour.loadMs * crowding;
    this.#busyMs += transferMs / this.behaviour.concurrency;
    await this.#clock.sleep(startMs - nowMs + transferMs);
    this.#active -= 1;
  }
}
