/** A pending callback that can be withdrawn. */
export interface Timer {
  /** Withdraws the callback; does nothing once it has run. */
  cancel(): void;
}

/** Source of time. Production uses the system; experiments use virtual time. */
export interface Clock {
  /** Monotonic time in milliseconds; the zero point has no meaning. It may stand still while the machine is suspended. */
  now(): number;
  /** Wall-clock time in milliseconds since the Unix epoch: for display, records, and numbers that are to rise over restarts. */
  wallTime(): number;
  /**
   * Time since the machine started in milliseconds, suspensions included, in steps of 10; absent where there is no such
   * clock. Takes some 10 microseconds to read.
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
