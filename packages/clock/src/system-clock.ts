import { uptime } from 'node:os';
import { sleepOn, type Clock, type Timer } from './clock.js';
import { afterPendingInput } from './pending-input.js';

/**
 * A timer that runs this late, in milliseconds, waits for the input that has arrived meanwhile: after the process was held
 * up, the event loop runs timers before it reads sockets, and a timer often ends a wait for what lies there.
 */
const LATE_MS = 50;

/** Longest delay of a timer of Node.js, which runs one with a longer delay at once. */
const MAX_DELAY_MS = 2 ** 31 - 1;

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

  /** What the callback throws is an uncaught exception, whether the timer runs late or not. */
  setTimer(delayMs: number, callback: () => void): Timer {
    const dueMs = this.now() + Math.max(0, delayMs);
    let isCancelled = false;
    const runUnlessCancelled = (): void => {
      if (!isCancelled) callback();
    };
    const run = (): void => {
      const lateMs = this.now() - dueMs;
      // Node.js cuts delays to whole milliseconds.
      if (lateMs < 0) schedule(-lateMs);
      else if (lateMs < LATE_MS) callback();
      else afterPendingInput(runUnlessCancelled);
    };
    let handle: NodeJS.Timeout;
    const schedule = (leftMs: number): void => {
      handle =
        leftMs > MAX_DELAY_MS
          ? setTimeout(() => schedule(leftMs - MAX_DELAY_MS), MAX_DELAY_MS)
          : setTimeout(run, leftMs);
    };
    schedule(delayMs);
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
