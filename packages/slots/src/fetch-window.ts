import type { Clock } from '@canvasridge/clock';

/**
 * Minimum of the initial window, which is one fetch per engine. A store that serves fewer at full speed shows it within
 * one fetch, and one that serves more is fully used some rounds sooner than from a small start.
 */
const INITIAL_SIZE = 12;
/** Minimum window: every weight store that users described serves this many fetches at full speed. */
const MIN_SIZE = 8;
/** A fetch counts as delayed from this multiple of the baseline on. Less can be due to a tight load time estimate. */
const DELAYED_FACTOR = 1.3;
/** Relative growth of the baseline per ms, so that a single exceptionally fast fetch is forgotten within minutes. */
const BASELINE_DRIFT_PER_MS = 2e-6;
/** The window only grows while at least this fraction of it is in use. */
const IN_USE_SHARE = 0.5;
/** Growth per fetch in time once the window has shrunk: a tenth of its size per full window of fetches in time. */
const SLOW_GROWTH = 0.1;
/** Length of an evaluation round, as a multiple of the baseline. */
const ROUND_FACTOR = 2;
/** The window only shrinks if at least this many fetches, and this fraction of those in progress, were delayed in a round. */
const MIN_DELAYED = 3;
const DELAYED_SHARE = 0.25;

/**
 * Limits how many adapters are fetched from the weight store at the same time. The store serves some number of fetches at
 * full speed, which no setting states. Beyond that number all fetches take proportionally longer, so adapters arrive no
 * sooner, and requests sent at their estimated arrival find them missing.
 *
 * The window follows delays, like delay-based congestion control (Vegas, BBR). The store is overloaded only if every
 * recent fetch took longer than the baseline, the usual time of a fetch. A single fetch in time shows that the store keeps
 * up; others that are late are then due to their engine, to an order queued behind another, or to a lost order.
 *
 * On overload the window shrinks to the number of fetches in progress times the baseline divided by the shortest recent
 * fetch time. It grows by one with each fetch in time until it first shrinks, and by a tenth per full window from then on:
 * after a store was slow for a while, from a tenth to the full size in 25 windows.
 */
export class FetchWindow {
  readonly #clock: Clock;
  #size = INITIAL_SIZE;
  #baselineMs: number;
  #baselineAtMs: number;
  /** The window grows slowly from this size on, which is its size after it last shrank. */
  #slowGrowthFrom = Infinity;
  #shrunkMs = -Infinity;
  #lastInTimeMs = -Infinity;
  /** Whether any fetch has completed. */
  #hasArrival = false;
  /** Recent fetches found to be delayed: when that was last seen, and a lower bound of how long they took. */
  readonly #delayed = new Map<string, { readonly atMs: number; readonly minMs: number }>();

  /** @param baselineMs initial estimate of how long a fetch takes while the store is not overloaded */
  constructor(clock: Clock, baselineMs: number) {
    this.#clock = clock;
    this.#baselineMs = baselineMs;
    this.#baselineAtMs = clock.now();
  }

  /** Sets the number of engines, which determines the initial window. Has no effect once a fetch has completed. */
  setEngineCount(engines: number): void {
    if (!this.#hasArrival) this.#size = Math.max(INITIAL_SIZE, engines);
  }

  /** Maximum number of concurrent fetches. */
  get size(): number {
    return Math.floor(this.#size);
  }

  /**
   * Records that a fetched adapter was present.
   * @param tookMs upper bound of how long the fetch took
   * @param inProgress other fetches in progress; a window that is not in use does not grow
   */
  recordArrival(tookMs: number, inProgress: number): void {
    this.#hasArrival = true;
    const nowMs = this.#clock.now();
    this.#baselineMs = Math.min(
      this.#baselineMs * (1 + BASELINE_DRIFT_PER_MS * (nowMs - this.#baselineAtMs)),
      tookMs,
    );
    this.#baselineAtMs = nowMs;
    if (tookMs > this.#baselineMs * DELAYED_FACTOR) return;
    this.#lastInTimeMs = nowMs;
    if (inProgress + 1 < this.#size * IN_USE_SHARE) return;
    this.#size += this.#size < this.#slowGrowthFrom ? 1 : SLOW_GROWTH;
  }

  /**
   * Records that an adapter was still missing some time after its fetch was ordered.
   * @param fetch id of the fetch, so that one that is missing repeatedly counts once
   * @param ageMs time since the fetch was ordered
   * @param inProgress fetches in progress
   */
  recordMissing(fetch: string, ageMs: number, inProgress: number): void {
    if (ageMs < this.#baselineMs * DELAYED_FACTOR || inProgress < MIN_SIZE) return;
    const nowMs = this.#clock.now();
    const roundMs = this.#baselineMs * ROUND_FACTOR;
    for (const [other, { atMs }] of this.#delayed) {
      if (nowMs - atMs >= roundMs) this.#delayed.delete(other);
    }
    this.#delayed.set(fetch, { atMs: nowMs, minMs: ageMs });
    const needed = Math.max(MIN_DELAYED, inProgress * DELAYED_SHARE);
    const keepsUp = nowMs - this.#lastInTimeMs < roundMs;
    if (this.#delayed.size < needed || keepsUp || nowMs - this.#shrunkMs < roundMs) return;
    this.#shrink(inProgress, nowMs);
  }

  #shrink(inProgress: number, nowMs: number): void {
    const minMs = Math.min(...[...this.#delayed.values()].map((fetch) => fetch.minMs));
    const capacity = Math.min(this.#size, inProgress) * (this.#baselineMs / minMs);
    this.#shrunkMs = nowMs;
    this.#delayed.clear();
    this.#size = Math.max(capacity, MIN_SIZE);
    this.#slowGrowthFrom = this.#size;
  }
}
