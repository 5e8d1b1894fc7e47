import { sleepOn, type Clock, type Timer } from './clock.js';

/** Sums of fractions differ by less. */
const ROUNDING_MS = 1e-6;

/**
 * Clock of one simulated machine that can be suspended: its steady time stands still meanwhile and its timers with it, as
 * CLOCK_MONOTONIC does, while the time of day goes on.
 */
export class SuspendableClock implements Clock {
  readonly #base: Clock;
  readonly #resumed: (() => void)[] = [];
  #lostMs = 0;
  #suspendedAtMs: number | undefined;

  constructor(base: Clock) {
    this.#base = base;
  }

  get isSuspended(): boolean {
    return this.#suspendedAtMs !== undefined;
  }

  now(): number {
    return (this.#suspendedAtMs ?? this.#base.now()) - this.#lostMs;
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
        if (this.isSuspended) this.#resumed.push(wait);
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
    this.#lostMs += this.#base.now() - this.#suspendedAtMs;
    this.#suspendedAtMs = undefined;
    for (const wait of this.#resumed.splice(0)) wait();
  }
}
