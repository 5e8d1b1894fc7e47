import type { Clock } from '@canvasridge/clock';

/** Fetches at once before anything is known: a store that serves fewer at full speed shows it within one fetch. */
const INITIAL = 12;
const LEAST = 4;
/** Part that is left of the window after fetches took longer than they should. */
const DECREASE = 0.75;
/** The window counts as used from this part of it on. */
const IN_USE_SHARE = 0.5;
/** Signs within this time come from the same fetches and count once. */
const ONE_CAUSE_MS = 300;

/**
 * How many adapters may be on their way from the weight store at the same time. The store serves some number of fetches
 * at full speed, which no setting tells; beyond it each takes longer in proportion, so that adapters arrive no sooner and
 * requests that were sent for their arrival find them missing. The window is kept as that of a congestion control (RFC
 * 5681): it grows by one with each fetch in time until the first sign of too many, by one for each window from then on,
 * and shrinks by a part with each sign.
 */
export class FetchWindow {
  readonly #clock: Clock;
  #size = INITIAL;
  /** From this size on it grows slowly; the size after the last sign. */
  #threshold = Infinity;
  #shrunkMs = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Fetches that may be under way. */
  get size(): number {
    return Math.floor(this.#size);
  }

  /**
   * A fetch has ended in time.
   * @param underWay fetches under way: a window that is not used does not grow
   */
  inTime(underWay: number): void {
    if (underWay + 1 < this.#size * IN_USE_SHARE) return;
    this.#size += this.#size < this.#threshold ? 1 : 1 / this.#size;
  }

  /** An adapter was missing when its fetch should have ended. */
  late(underWay: number): void {
    const nowMs = this.#clock.now();
    if (underWay < LEAST || nowMs - this.#shrunkMs < ONE_CAUSE_MS) return;
    this.#shrunkMs = nowMs;
    this.#size = Math.max(Math.min(this.#size, underWay) * DECREASE, LEAST);
    this.#threshold = this.#size;
  }
}
