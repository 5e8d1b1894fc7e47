import type { Clock } from '@canvasridge/clock';

const SAMPLE_MS = 500;
/** Weight of the newest sample in the moving average, which covers about the last two seconds. */
const WEIGHT = 0.25;
/** A sample counts up to this value, as a pause of the whole process is no sign of load. */
const MAX_SAMPLE_MS = 80;
/**
 * Mean timer delay above which this process counts as busy: a request passes the event loop about five times
 * between its header and its first byte, and so loses a tenth of a second.
 */
const BUSY_LAG_MS = 25;
/**
 * A process that became busy counts as such for at least this long: callers that were redirected return only
 * after it.
 */
const BUSY_HOLD_MS = 15_000;

/** Measures the event loop lag: how late timers, and so everything else in this process, run. */
export class LoopLag {
  readonly #clock: Clock;
  readonly #onBusy: (busy: boolean) => void;
  #meanMs = 0;
  #busy = false;
  #busyUntilMs = 0;
  #stopped = false;

  /** @param onBusy called with each change of {@link LoopLag.busy} */
  constructor(clock: Clock, onBusy: (busy: boolean) => void) {
    this.#clock = clock;
    this.#onBusy = onBusy;
  }

  /** Moving average of the lag over about the last two seconds, in milliseconds. */
  get meanMs(): number {
    return this.#meanMs;
  }

  get busy(): boolean {
    return this.#busy;
  }

  start(): void {
    const dueMs = this.#clock.now() + SAMPLE_MS;
    this.#clock.setTimer(SAMPLE_MS, () => {
      if (this.#stopped) return;
      this.observe(this.#clock.now() - dueMs);
      this.start();
    });
  }

  stop(): void {
    this.#stopped = true;
  }

  /** Records one sample, in milliseconds. */
  observe(lateMs: number): void {
    const nowMs = this.#clock.now();
    this.#meanMs += WEIGHT * (Math.min(lateMs, MAX_SAMPLE_MS) - this.#meanMs);
    const isLate = this.#meanMs > BUSY_LAG_MS;
    if (isLate) this.#busyUntilMs = nowMs + BUSY_HOLD_MS;
    const busy = isLate || nowMs < this.#busyUntilMs;
    if (busy === this.#busy) return;
    this.#busy = busy;
    this.#onBusy(busy);
  }
}
