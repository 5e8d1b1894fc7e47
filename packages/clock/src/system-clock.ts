import { sleepOn, type Clock, type Timer } from './clock.js';

/** Clock of the operating system. `now` is CLOCK_MONOTONIC, which goes on while a process is stopped. */
export class SystemClock implements Clock {
  now(): number {
    return performance.now();
  }

  wallTime(): number {
    return Date.now();
  }

  setTimer(delayMs: number, callback: () => void): Timer {
    const handle = setTimeout(callback, delayMs);
    return { cancel: () => clearTimeout(handle) };
  }

  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return sleepOn(this, delayMs, signal);
  }
}
