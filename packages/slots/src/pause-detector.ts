import type { Clock } from '@canvasridge/clock';

/**
 * Detects that the process was not running for a while (stopped, frozen or starved of CPU time), so that it does not act
 * on outdated state. It must be checked at regular intervals, and also right before an action to detect a pause that has
 * only just ended.
 */
export class PauseDetector {
  readonly #clock: Clock;
  readonly #limitMs: number;
  readonly #listeners: ((pausedMs: number) => void)[] = [];
  #lastTickMs: number;

  /** @param limitMs a longer gap between two checks counts as a pause */
  constructor(clock: Clock, limitMs: number) {
    this.#clock = clock;
    this.#limitMs = limitMs;
    this.#lastTickMs = clock.now();
  }

  /** Registers a listener for detected pauses. */
  onPause(listener: (pausedMs: number) => void): void {
    this.#listeners.push(listener);
  }

  /** Notifies the listeners if there was a pause since the last check, and returns whether there was one. */
  check(): boolean {
    const nowMs = this.#clock.now();
    const gapMs = nowMs - this.#lastTickMs;
    this.#lastTickMs = nowMs;
    if (gapMs <= this.#limitMs) return false;
    for (const listener of this.#listeners) listener(gapMs);
    return true;
  }
}
