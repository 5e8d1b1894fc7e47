import type { Clock } from '@canvasridge/clock';

const SAMPLE_MS = 500;
/** Weight of the newest sample in the mean: about the last two seconds count. */
const WEIGHT = 0.25;
/** One sample counts up to this, as a pause of the whole process is no sign of load. */
const LONGEST_SAMPLE_MS = 80;
/**
 * Mean lateness of timers from which this process counts as busy: a request passes the loop some four times from its
 * head to its first byte, and so loses a tenth of a second.
 */
const BUSY_LAG_MS = 25;
/** A busy process counts as such for this long: callers that were sent elsewhere come back only then. */
const BUSY_HOLD_MS = 15_000;

/** How late this process runs its timers, and so everything else. */
export class LoopLag {
  readonly #clock: Clock;
  readonly #onBusy: (busy: boolean) => void;
  #meanMs = 0;
  #busy = false;
  #calmAtMs = 0;
  #stopped = false;

  /** @param onBusy called with each change of {@link LoopLag.busy} */
  constructor(clock: Clock, onBusy: (busy: boolean) => void) {
    this.#clock = clock;
    this.#onBusy = onBusy;
  }

  /** Mean lateness of the last two seconds, in milliseconds. */
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

  /** Takes one sample, in milliseconds. */
  observe(lateMs: number): void {
    const nowMs = this.#clock.now();
    this.#meanMs += WEIGHT * (Math.min(lateMs, LONGEST_SAMPLE_MS) - this.#meanMs);
    const isLate = this.#meanMs > BUSY_LAG_MS;
    if (isLate) this.#calmAtMs = nowMs + BUSY_HOLD_MS;
    const busy = isLate || nowMs < this.#calmAtMs;
    if (busy === this.#busy) return;
    this.#busy = busy;
    this.#onBusy(busy);
  }
}
