import { sleepOn, type Clock, type Timer } from './clock.js';

/**
 * Clock of one simulated process, based on a shared clock. It can run at a different rate, be paused (timers
 * that become due meanwhile run on resume, as after SIGSTOP and SIGCONT) or be stopped for good (as after
 * SIGKILL).
 */
export class HostClock implements Clock {
  readonly #base: Clock;
  readonly #rate: number;
  readonly #deferred: (() => void)[] = [];
  #state: 'running' | 'paused' | 'stopped' = 'running';

  /** @param rate local milliseconds that pass in one millisecond of the shared clock */
  constructor(base: Clock, rate = 1) {
    this.#base = base;
    this.#rate = rate;
  }

  now(): number {
    return this.#base.now() * this.#rate;
  }

  wallTime(): number {
    return this.#base.wallTime();
  }

  setTimer(delayMs: number, callback: () => void): Timer {
    let pending: (() => void) | undefined = callback;
    const run = (): void => {
      const current = pending;
      pending = undefined;
      current?.();
    };
    const timer = this.#base.setTimer(delayMs / this.#rate, () => this.#deliver(run));
    return {
      cancel: () => {
        pending = undefined;
        timer.cancel();
      },
    };
  }

  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return sleepOn(this, delayMs, signal);
  }

  /** Runs `action` now; on resume if the process is paused; never after {@link HostClock.stop}. */
  deliver(action: () => void): void {
    this.#deliver(action);
  }

  pause(): void {
    if (this.#state === 'running') this.#state = 'paused';
  }

  /** Resumes a paused process and runs, in order, what became due meanwhile. */
  resume(): void {
    if (this.#state !== 'paused') return;
    this.#state = 'running';
    for (const action of this.#deferred.splice(0)) action();
  }

  stop(): void {
    this.#state = 'stopped';
    this.#deferred.length = 0;
  }

  get stopped(): boolean {
    return this.#state === 'stopped';
  }

  #deliver(action: () => void): void {
    if (this.#state === 'running') action();
    else if (this.#state === 'paused') this.#deferred.push(action);
  }
}
