/** A scheduled callback that can be cancelled. */
export interface Timer {
  /** Cancels the callback; does nothing once it has run. */
  cancel(): void;
}

/** Source of time: the system clock in production, virtual time in tests and simulations. */
export interface Clock {
  /**
   * Monotonic time in milliseconds, with an arbitrary zero point. It may stop while the machine is suspended.
   */
  now(): number;
  /**
   * Wall-clock time in milliseconds since the Unix epoch: for display, records, and numbers that must
   * increase across restarts.
   */
  wallTime(): number;
  /**
   * Time since the machine booted, including suspensions, in milliseconds with a resolution of 10 ms. The
   * method is absent if there is no such clock. A read takes some 10 microseconds.
   */
  uptimeMs?(): number;
  /** Calls `callback` once after `delayMs` milliseconds. */
  setTimer(delayMs: number, callback: () => void): Timer;
  /** Resolves after `delayMs` milliseconds, or at once when `signal` aborts. Never rejects. */
  sleep(delayMs: number, signal?: AbortSignal): Promise<void>;
}

/** Implements {@link Clock.sleep} on top of {@link Clock.setTimer}. */
export function sleepOn(
  clock: Pick<Clock, 'setTimer'>,
  delayMs: number,
  signal?: AbortSignal,
): Promise<void> {
  if (signal?.aborted === true) return Promise.resolve();
  return new Promise((resolve) => {
    const finish = (): void => {
      timer.cancel();
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const timer = clock.setTimer(delayMs, finish);
    signal?.addEventListener('abort', finish, { once: true });
  });
}
