import { uptime } from 'node:os';
import { sleepOn, type Clock, type Timer } from './clock.js';
import { pendingInputHandled } from './pending-input.js';

/**
 * A timer that runs this late, in milliseconds, waits for the input that has arrived meanwhile: after the process was held
 * up, the event loop runs timers before it reads sockets, and a timer often ends a wait for what lies there.
 */
const LATE_MS = 50;

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
    const dueMs = this.now() + Math.max(0, delayMs);
    let isCancelled = false;
    const runUnlessCancelled = (): void => {
      if (!isCancelled) callback();
    };
    const handle = setTimeout(() => {
      if (this.now() - dueMs < LATE_MS) callback();
      else void pendingInputHandled().then(runUnlessCancelled);
    }, delayMs);
    return {
      cancel: () => {
        isCancelled = true;
        clearTimeout(handle);
      },
    };
  }

  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return sleepOn(this, delayMs, signal);
  }
}
