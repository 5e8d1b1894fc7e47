import { Heap } from 'heap-js';
import { sleepOn, type Clock, type Timer } from './clock.js';

/** Wall-clock time at virtual time 0, so that simulated runs see plausible dates. */
const WALL_EPOCH_MS = Date.UTC(2026, 6, 1);

interface PendingTimer {
  readonly dueMs: number;
  readonly order: number;
  callback: (() => void) | undefined;
}

/**
 * Virtual time of a discrete-event simulation. All pending promise callbacks run before the next timer, so a
 * run is deterministic, and it is as fast as the machine allows.
 */
export class VirtualClock implements Clock {
  readonly #queue = new Heap<PendingTimer>((a, b) => a.dueMs - b.dueMs || a.order - b.order);
  #nowMs = 0;
  #order = 0;

  now(): number {
    return this.#nowMs;
  }

  wallTime(): number {
    return WALL_EPOCH_MS + this.#nowMs;
  }

  setTimer(delayMs: number, callback: () => void): Timer {
    const entry: PendingTimer = { dueMs: this.#nowMs + Math.max(0, delayMs), order: this.#order, callback };
    this.#order += 1;
    this.#queue.push(entry);
    return {
      cancel: () => {
        entry.callback = undefined;
      },
    };
  }

  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return sleepOn(this, delayMs, signal);
  }

  /** Runs the timers due until `untilMs` in order, then sets the time to `untilMs`. */
  async runUntil(untilMs: number): Promise<void> {
    await settle();
    for (;;) {
      const next = this.#queue.peek();
      if (next === undefined || next.dueMs > untilMs) break;
      this.#queue.pop();
      if (next.callback === undefined) continue;
      this.#nowMs = next.dueMs;
      next.callback();
      await settle();
    }
    this.#nowMs = Math.max(this.#nowMs, untilMs);
  }
}

/**
 * Runs all queued microtasks: the check phase of the event loop, which runs `setImmediate`, starts only after
 * them.
 */
function settle(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
