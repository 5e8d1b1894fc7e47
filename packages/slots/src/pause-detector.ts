import type { Clock } from '@canvasridge/clock';

/**
 * Notices that the process was not running for a while (stopped, frozen or starved), so that what it
 * believed before is not acted on. It is asked at regular times, and right before an action, so that it also sees a pause
 * that ended just now.
 */
export class PauseDetector {
  readonly #clock: Clock;
  readonly #limitMs: number;
  readonly #listeners: ((pausedMs: number) => void)[] = [];
  #lastTickMs: number;

  /** @param limitMs a gap between two checks that is longer than this counts as a pause */
  constructor(clock: Clock, limitMs: number) {
    this.#clock = clock;
    this.#limitMs = limitMs;
    this.#lastTickMs = clock.now();
  }

  onPause(listener: (pausedMs: number) => void): void {
    this.#listeners.push(listener);
  }

  /** Tells the listeners of a pause since the last check, and returns whether there was one. */
  check(): boolean {
    const nowMs = this.#clock.now();
    const gapMs = nowMs - this.#lastTickMs;
    this.#lastTickMs = nowMs;
    if (gapMs <= this.#limitMs) return false;
    for (const listener of this.#listeners) listener(gapMs);
    return true;
  }
}
