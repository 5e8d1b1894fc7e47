import { uptime } from 'node:os';
import { sleepOn, type Clock, type Timer } from './clock.js';

/**
 * Clock of the operating system. `now` is CLOCK_MONOTONIC, which continues while the process is stopped, but
 * not while the machine is suspended; see `ContinuousClock`.
 */
export class SystemClock implements Clock {
  now(): number {
    return performance.now();
  }

  wallTime(): number {
    return Date.now();
  }

  uptimeMs(): number {
    return uptime() * 1000;
  }

  setTimer(delayMs: number, callback: () => void): Timer {
    const handle = setTimeout(callback, delayMs);
    return { cancel: () => clearTimeout(handle) };
  }

  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return sleepOn(this, delayMs, signal);
  }
}
