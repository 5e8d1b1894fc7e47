import type { Clock } from '@canvasridge/clock';

/** Time constant of the exponential decay. */
const WINDOW_MS = 1000;

/** Exponentially decaying average of the units requested per second. */
export class DemandRate {
  readonly #clock: Clock;
  #decayedUnits = 0;
  #updatedAtMs: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#updatedAtMs = clock.now();
  }

  add(units: number): void {
    this.#decay();
    this.#decayedUnits += units;
  }

  get perSecond(): number {
    this.#decay();
    return (this.#decayedUnits / WINDOW_MS) * 1000;
  }

  #decay(): void {
    const nowMs = this.#clock.now();
    this.#decayedUnits *= Math.exp((this.#updatedAtMs - nowMs) / WINDOW_MS);
    this.#updatedAtMs = nowMs;
  }
}
