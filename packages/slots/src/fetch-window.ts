import type { Clock } from '@canvasridge/clock';

/** Fetches at once before anything is known: a store that serves fewer at full speed shows it within one fetch. */
const INITIAL = 12;
/** Every weight store that the users describe serves so many at full speed. */
const LEAST = 8;
/** A fetch that takes so many times the usual time is a sign of too many; less is the chance of a tight guess. */
const LENGTHENED = 1.3;
/** The usual time is taken to be longer by this part each ms: one that was quick by chance is forgotten in minutes. */
const USUAL_DRIFT = 2e-6;
/** Part that is left of the window after fetches took longer than they should. */
const DECREASE = 0.75;
/** The window counts as used from this part of it on. */
const IN_USE_SHARE = 0.5;
/** Lengthened fetches within this time have one cause and shrink the window once. */
const ONE_CAUSE_MS = 300;
/**
 * So many fetches, and this part of those under way, have to be lengthened: too many on their way lengthen them all, while
 * a single one tells of its engine, or of an order that was lost.
 */
const FEWEST_LENGTHENED = 3;
const LENGTHENED_SHARE = 0.25;

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
  #usualMs: number;
  #usualAtMs: number;
  /** From this size on it grows slowly; the size after the last sign. */
  #threshold = Infinity;
  #shrunkMs = -Infinity;
  /** Fetches that were found to be lengthened within {@link ONE_CAUSE_MS}, and when each was. */
  readonly #lengthened = new Map<string, number>();

  /** @param usualMs first guess of how long a fetch takes while the store is not overloaded */
  constructor(clock: Clock, usualMs: number) {
    this.#clock = clock;
    this.#usualMs = usualMs;
    this.#usualAtMs = clock.now();
  }

  /** Fetches that may be under way. */
  get size(): number {
    return Math.floor(this.#size);
  }

  /**
   * A fetch has ended about when it was expected to.
   * @param tookMs time after which the adapter was there
   * @param underWay fetches under way: a window that is not used does not grow
   */
  inTime(tookMs: number, underWay: number): void {
    const nowMs = this.#clock.now();
    this.#usualMs = Math.min(this.#usualMs * (1 + USUAL_DRIFT * (nowMs - this.#usualAtMs)), tookMs);
    this.#usualAtMs = nowMs;
    const isLengthened = tookMs > this.#usualMs * LENGTHENED;
    if (isLengthened || underWay + 1 < this.#size * IN_USE_SHARE) return;
    this.#size += this.#size < this.#threshold ? 1 : 1 / this.#size;
  }

  /**
   * An adapter was still missing so long after its fetch was ordered.
   * @param fetch names the fetch: one that is missing again and again counts once
   */
  missing(fetch: string, ageMs: number, underWay: number): void {
    if (ageMs < this.#usualMs * LENGTHENED || underWay < LEAST) return;
    const nowMs = this.#clock.now();
    for (const [other, atMs] of this.#lengthened) {
      if (nowMs - atMs >= ONE_CAUSE_MS) this.#lengthened.delete(other);
    }
    this.#lengthened.set(fetch, nowMs);
    const needed = Math.max(FEWEST_LENGTHENED, underWay * LENGTHENED_SHARE);
    if (this.#lengthened.size < needed || nowMs - this.#shrunkMs < ONE_CAUSE_MS) return;
    this.#shrunkMs = nowMs;
    this.#lengthened.clear();
    this.#size = Math.max(Math.min(this.#size, underWay) * DECREASE, LEAST);
    this.#threshold = this.#size;
  }
}
