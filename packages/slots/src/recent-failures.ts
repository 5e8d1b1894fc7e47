/** Halves the weight of a failure each time it passes. */
const HALF_LIFE_MS = 2500;
/** A recent failure counts as this many running requests. */
const RUNNING_PER_FAILURE = 4;

/** The recent failures of one backend, weighted by their age, so that it is avoided for a while. */
export class RecentFailures {
  #count = 0;
  #updatedMs = 0;

  record(nowMs: number): void {
    this.#count = this.#decayed(nowMs) + 1;
    this.#updatedMs = nowMs;
  }

  /** Number of running requests that the failures count as. */
  load(nowMs: number): number {
    return RUNNING_PER_FAILURE * this.#decayed(nowMs);
  }

  #decayed(nowMs: number): number {
    return this.#count * 0.5 ** ((nowMs - this.#updatedMs) / HALF_LIFE_MS);
  }
}
