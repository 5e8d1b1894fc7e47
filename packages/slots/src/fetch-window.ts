import type { Clock } from '@canvasridge/clock';

/**
 * Fetches at once before anything is known, one for each engine but no fewer than this: a store that serves fewer at full
 * speed shows it within one fetch, and one that serves more is used in full some rounds sooner.
 */
const INITIAL_SIZE = 12;
/** Every weight store that the users describe serves so many at full speed. */
const MIN_SIZE = 8;
/** A fetch that takes so many times the usual time is lengthened; less is the chance of a tight guess. */
const DELAYED_FACTOR = 1.3;
/** The usual time is taken to be longer by this part each ms: one that was quick by chance is forgotten in minutes. */
const BASELINE_DRIFT_PER_MS = 2e-6;
/** The window counts as used from this part of it on. */
const IN_USE_SHARE = 0.5;
/** Growth with each fetch in time once it shrank: a tenth of the window while a whole window of them comes in time. */
const SLOW_GROWTH = 0.1;
/** What is looked at together: fetches of so many usual times. */
const ROUND_FACTOR = 2;
/** So many fetches, and this part of those under way, have to be lengthened before anything is concluded. */
const MIN_DELAYED = 3;
const DELAYED_SHARE = 0.25;

/**
 * How many adapters may be on their way from the weight store at the same time. The store serves some number of fetches
 * at full speed, which no setting tells; beyond it all take longer in proportion, so that adapters arrive no sooner and
 * requests that were sent for their arrival find them missing.
 *
 * The window follows delays, as congestion control by delay does (Vegas, BBR): too many are on their way only if each
 * fetch of late took longer than the usual time, since one that came in time shows that the store keeps up, and others
 * that are late tell of their engine, of an order behind another, or of a lost one. What fits is then the number under way
 * times the usual time by the least of late. It grows by one with each fetch in time until that first happened, and by a
 * tenth for each window from then on: after a store was slow for a while, from a tenth to the whole in 25 windows.
 */
export class FetchWindow {
  readonly #clock: Clock;
  #size = INITIAL_SIZE;
  #baselineMs: number;
  #baselineAtMs: number;
  /** From this size on it grows slowly; the size after it last shrank. */
  #slowGrowthFrom = Infinity;
  #shrunkMs = -Infinity;
  #lastInTimeMs = -Infinity;
  /** Whether any fetch has told of the store. */
  #hasArrival = false;
  /** Fetches of late that were found to be lengthened: when that was seen last, and how long they took at the least. */
  readonly #delayed = new Map<string, { readonly atMs: number; readonly leastMs: number }>();

  /** @param usualMs first guess of how long a fetch takes while the store is not overloaded */
  constructor(clock: Clock, usualMs: number) {
    this.#clock = clock;
    this.#baselineMs = usualMs;
    this.#baselineAtMs = clock.now();
  }

  /** So many engines are there; of interest only until the first fetch has told of the store itself. */
  setEngineCount(engines: number): void {
    if (!this.#hasArrival) this.#size = Math.max(INITIAL_SIZE, engines);
  }

  /** Fetches that may be under way. */
  get size(): number {
    return Math.floor(this.#size);
  }

  /**
   * An adapter was there.
   * @param tookMs time after which it was there at the latest
   * @param underWay fetches under way: a window that is not used does not grow
   */
  recordArrival(tookMs: number, underWay: number): void {
    this.#hasArrival = true;
    const nowMs = this.#clock.now();
    this.#baselineMs = Math.min(
      this.#baselineMs * (1 + BASELINE_DRIFT_PER_MS * (nowMs - this.#baselineAtMs)),
      tookMs,
    );
    this.#baselineAtMs = nowMs;
    if (tookMs > this.#baselineMs * DELAYED_FACTOR) return;
    this.#lastInTimeMs = nowMs;
    if (underWay + 1 < this.#size * IN_USE_SHARE) return;
    this.#size += this.#size < this.#slowGrowthFrom ? 1 : SLOW_GROWTH;
  }

  /**
   * An adapter was still missing so long after its fetch was ordered.
   * @param fetch names the fetch: one that is missing again and again counts once
   */
  recordMissing(fetch: string, ageMs: number, underWay: number): void {
    if (ageMs < this.#baselineMs * DELAYED_FACTOR || underWay < MIN_SIZE) return;
    const nowMs = this.#clock.now();
    const roundMs = this.#baselineMs * ROUND_FACTOR;
    for (const [other, { atMs }] of this.#delayed) {
      if (nowMs - atMs >= roundMs) this.#delayed.delete(other);
    }
    this.#delayed.set(fetch, { atMs: nowMs, leastMs: ageMs });
    const needed = Math.max(MIN_DELAYED, underWay * DELAYED_SHARE);
    const keepsUp = nowMs - this.#lastInTimeMs < roundMs;
    if (this.#delayed.size < needed || keepsUp || nowMs - this.#shrunkMs < roundMs) return;
    this.#shrink(underWay, nowMs);
  }

  #shrink(underWay: number, nowMs: number): void {
    const leastMs = Math.min(...[...this.#delayed.values()].map((fetch) => fetch.leastMs));
    const capacity = Math.min(this.#size, underWay) * (this.#baselineMs / leastMs);
    this.#shrunkMs = nowMs;
    this.#delayed.clear();
    this.#size = Math.max(capacity, MIN_SIZE);
    this.#slowGrowthFrom = this.#size;
  }
}
