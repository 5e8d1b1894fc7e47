import { sleepOn, type Clock, type Timer } from './clock.js';

/** A timer with at most this time left is due: rounding errors of floating-point sums are smaller. */
const ROUNDING_MS = 1e-6;

/**
 * Clock of one simulated machine that can be suspended. During a suspension, its monotonic time and its
 * timers stop, as with CLOCK_MONOTONIC, while the wall clock continues.
 */
export class SuspendableClock implements Clock {
  readonly #base: Clock;
  readonly #onResume: (() => void)[] = [];
  #suspendedMs = 0;
  #suspendedAtMs: number | undefined;

  constructor(base: Clock) {
    this.#base = base;
  }

  get isSuspended(): boolean {
    return this.#suspendedAtMs !== undefined;
  }

  now(): number {
    return (this.#suspendedAtMs ?? this.#base.now()) - this.#suspendedMs;
  }

  wallTime(): number {
    return this.#base.wallTime();
  }

  setTimer(delayMs: number, callback: () => void): Timer {
    const dueMs = this.now() + Math.max(0, delayMs);
    let timer: Timer | undefined;
    let isCancelled = false;
    const wait = (): void => {
      timer = this.#base.setTimer(Math.max(0, dueMs - this.now()), () => {
        if (isCancelled) return;
        if (this.isSuspended) this.#onResume.push(wait);
        else if (dueMs - this.now() > ROUNDING_MS) wait();
        else callback();
      });
    };
    wait();
    return {
      cancel: () => {
        isCancelled = true;
        timer?.cancel();
      },
    };
  }

  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return sleepOn(this, delayMs, signal);
  }

  suspend(): void {
    this.#suspendedAtMs ??= this.#base.now();
  }

  resume(): void {
    if (this.#suspendedAtMs === undefined) return;
    this.#suspendedMs += this.#base.now() - this.#suspendedAtMs;
    this.#suspendedAtMs = undefined;
    for (const wait of this.#onResume.splice(0)) wait();
  }
}
