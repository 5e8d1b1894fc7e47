import type { Clock } from './clock.js';

/** Condition variable: each call of `notify` resolves all waits that began before it. */
export class Notifier {
  readonly #waiters = new Set<() => void>();

  wait(): Promise<void> {
    return new Promise((resolve) => {
      this.#waiters.add(resolve);
    });
  }

  /** Waits for `notify`, but at most `delayMs` milliseconds. */
  waitUpTo(clock: Pick<Clock, 'setTimer'>, delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        this.#waiters.delete(finish);
        timer.cancel();
        resolve();
      };
      const timer = clock.setTimer(delayMs, finish);
      this.#waiters.add(finish);
    });
  }

  notify(): void {
    const waiters = [...this.#waiters];
    this.#waiters.clear();
    for (const wake of waiters) wake();
  }
}
