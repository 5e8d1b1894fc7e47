import type { Clock } from '@canvasridge/clock';
import type { LoadTime, LoadUse } from './load-time.js';

/** Multiple of the initial estimate that is used until a load has been observed. */
const UNKNOWN_FACTOR = 1.25;
/** Bounds of the estimate, relative to its initial value. */
const MAX_FACTOR = 5;
const MIN_FACTOR = 0.2;
/** Distance of the estimate from a lower bound: the larger of a fraction of it and the variation of network delays. */
const MARGIN_SHARE = 0.02;
const MARGIN_MS = 4;
/** Largest step above a lower bound. Waiting that much longer costs a request less than another refusal. */
const MAX_STEP = 1.15;
/** A single load that is missing at up to this multiple of the estimate raises it. Beyond that, others have to confirm. */
const SINGLE_FACTOR = 1.25;
/** Number of misses of a single load that raise the estimate until a load has been observed in time. */
const UNKNOWN_TRUSTED_MISSES = 2;
/** Number of loads that have to be missing at an age beyond that. */
const CONFIRMING_LOADS = 3;
/** Relative decrease of the estimate per ms while no lower bound forbids it. */
const DECREASE_PER_MS = 0.00025;
/** Minimum time between two decreases: a placement run reads the estimate for each request, a decrease reads all bounds. */
const DECREASE_PERIOD_MS = 5;
/** The estimate is lowered at most to this multiple of the shortest time that was shown to suffice. */
const UNTRIED_FACTOR = 0.9;
/** How long a lower bound counts: at first, and at most, once it was confirmed repeatedly. */
const MIN_KEPT_MS = 2000;
const MAX_KEPT_MS = 16_000;
/** Number of loads in time for which it counts beside that, per ms of that time: at most one load in 200 tests a bound. */
const KEPT_USES_PER_MS = 0.1;
/** A lower bound confirms the last one if it differs by at most this many margins. */
const CONFIRMED_MARGINS = 2;
/** How long an upper bound counts; the last few count longer. */
const UPPER_KEPT_MS = 4000;
const MIN_UPPER = 16;
/** Above this multiple of the shortest time that ever sufficed, the estimate counts as raised. */
const RAISED_FACTOR = 1.25;
/** Time between two trials of a shorter time: at first, and at most. It is doubled after each one that does not succeed. */
const MIN_TRIAL_PERIOD_MS = 1000;
const MAX_TRIAL_PERIOD_MS = { raised: 2000, usual: 16_000 };
/** Number of loads in time between two trials. */
const TRIAL_USES = { raised: 10, usual: 200 };
/** Fraction of the estimate that is tried while it is not raised. */
const TRIAL_SHARE = 0.85;
/** A load in time at less than this fraction of the estimate was a trial; others are used at the estimated time. */
const LONGEST_TRIAL_SHARE = 0.95;
/** Relative growth per ms of the shortest time that ever sufficed, so that a single fast load is forgotten within minutes. */
const SHORTEST_DRIFT_PER_MS = 2e-6;
/** Maximum number of bounds of each kind; the oldest ones are dropped. */
const MAX_BOUNDS = 256;

interface Bound extends LoadUse {
  readonly atMs: number;
}

interface LowerBound extends Bound {
  /** Whether it counts without other loads that confirm it. */
  readonly trusted: boolean;
  /** Number of loads in time before it. */
  readonly usesBefore: number;
}

/**
 * Estimates how long a load takes from bounds. A request that finds its adapter missing at some age shows that the load
 * takes longer, one that finds it present shows that it took at most that long.
 *
 * The estimate jumps above a new lower bound at once. It is lowered by time, not below lower bounds that still count. They
 * expire, so that a store that became faster is noticed; a bound that is confirmed each time it expires is kept longer.
 * Now and then a load is tried sooner, at the shortest time that ever sufficed if the estimate is far above it. One that is
 * present refutes the lower bounds of earlier loads, and the estimate falls to that time at once.
 *
 * A load that is missing although one accepted later was present is late for a reason of its own and ignored.
 */
export class LoadTimeBounds implements LoadTime {
  readonly #clock: Clock;
  readonly #initialMs: number;
  #estimateMs: number;
  #loweredMs: number;
  #lower: LowerBound[] = [];
  #upper: Bound[] = [];
  #keptMs = MIN_KEPT_MS;
  #lastLowerMs = 0;
  #lastRaisedMs = -Infinity;
  #uses = 0;
  #shortestMs = Infinity;
  #shortestAtMs = 0;
  #trialPeriodMs = MIN_TRIAL_PERIOD_MS;
  #lastTrialMs: number;
  #lastTrialUse = 0;

  constructor(clock: Clock, initialMs: number) {
    this.#clock = clock;
    this.#initialMs = initialMs;
    this.#estimateMs = initialMs * UNKNOWN_FACTOR;
    this.#loweredMs = clock.now();
    this.#lastTrialMs = clock.now();
  }

  get estimateMs(): number {
    this.#lowerByTime();
    return this.#estimateMs;
  }

  get isKnown(): boolean {
    return this.#uses > 0;
  }

  /** The largest lower bound that counts now, in milliseconds; 0 if there is none. */
  get lowerBoundMs(): number {
    const oldestMs = this.#clock.now() - this.#keptMs;
    const oldestUse = this.#uses - this.#keptMs * KEPT_USES_PER_MS;
    let trustedMs = 0;
    /** The largest bound of each load. */
    const byLoad = new Map<string, number>();
    for (const { load, ageMs, atMs, usesBefore, trusted } of this.#lower) {
      if (atMs < oldestMs && usesBefore < oldestUse) continue;
      if (trusted) trustedMs = Math.max(trustedMs, ageMs);
      byLoad.set(load, Math.max(byLoad.get(load) ?? 0, ageMs));
    }
    const confirmedMs = [...byLoad.values()].sort((a, b) => b - a)[CONFIRMING_LOADS - 1] ?? 0;
    return Math.max(trustedMs, confirmedMs);
  }

  recordTooEarly(use: LoadUse): boolean {
    const { load, acceptedMs, ageMs } = use;
    const isLateAlone = this.#upper.some(
      (upper) => upper.load !== load && upper.acceptedMs >= acceptedMs && upper.ageMs < ageMs,
    );
    if (isLateAlone) return false;
    this.#lowerByTime();
    const nowMs = this.#clock.now();
    const trusted = this.#isTrusted(load, ageMs);
    this.#lower = append(this.#lower, { ...use, atMs: nowMs, trusted, usesBefore: this.#uses });
    const lowerMs = this.lowerBoundMs;
    if (this.#estimateMs < lowerMs + marginOf(lowerMs)) this.#raise(lowerMs, nowMs);
    return true;
  }

  #isTrusted(load: string, ageMs: number): boolean {
    const earlier = this.#lower.filter((lower) => lower.load === load).length;
    if (!this.isKnown && earlier < UNKNOWN_TRUSTED_MISSES) return true;
    return earlier === 0 && ageMs <= this.#estimateMs * SINGLE_FACTOR;
  }

  recordInTime(use: LoadUse): void {
    this.#lowerByTime();
    const nowMs = this.#clock.now();
    this.#uses += 1;
    this.#upper = append(this.#upper, { ...use, atMs: nowMs }).filter(
      ({ atMs }, index, all) => atMs >= nowMs - UPPER_KEPT_MS || index >= all.length - MIN_UPPER,
    );
    this.#shortestMs = Math.min(this.#driftedShortestMs(nowMs), use.ageMs);
    this.#shortestAtMs = nowMs;
    this.#refute(use);
  }

  /** Now and then returns a shorter time than the estimate: the shortest one that ever sufficed if the estimate is raised. */
  firstTryMs(): number {
    const { estimateMs } = this;
    const nowMs = this.#clock.now();
    const shortestMs = this.#driftedShortestMs(nowMs);
    const phase = estimateMs > shortestMs * RAISED_FACTOR ? 'raised' : 'usual';
    const periodMs = Math.min(this.#trialPeriodMs, MAX_TRIAL_PERIOD_MS[phase]);
    if (nowMs - this.#lastTrialMs < periodMs) return estimateMs;
    if (this.#uses - this.#lastTrialUse < TRIAL_USES[phase]) return estimateMs;
    this.#lastTrialUse = this.#uses;
    this.#lastTrialMs = nowMs;
    this.#trialPeriodMs = Math.min(periodMs * 2, MAX_TRIAL_PERIOD_MS[phase]);
    return phase === 'raised' ? shortestMs + marginOf(shortestMs) : estimateMs * TRIAL_SHARE;
  }

  #driftedShortestMs(nowMs: number): number {
    return this.#shortestMs * (1 + SHORTEST_DRIFT_PER_MS * (nowMs - this.#shortestAtMs));
  }

  /** Drops the lower bounds of earlier loads that a load in time refutes, and lowers the estimate if it was due to them. */
  #refute({ acceptedMs, ageMs }: LoadUse): void {
    this.#lower = this.#lower.filter((lower) => lower.ageMs < ageMs || lower.acceptedMs > acceptedMs);
    const sufficientMs = ageMs + marginOf(ageMs);
    if (sufficientMs >= this.#estimateMs * LONGEST_TRIAL_SHARE) return;
    const lowerMs = this.lowerBoundMs;
    this.#estimateMs = Math.min(this.#estimateMs, Math.max(sufficientMs, lowerMs + marginOf(lowerMs)));
    this.#trialPeriodMs = MIN_TRIAL_PERIOD_MS;
    // The next trial follows after few loads, whatever the phase, as a still shorter time may suffice.
    this.#lastTrialUse = this.#uses - TRIAL_USES.usual + TRIAL_USES.raised;
  }

  /** The shortest time above the lower bound that sufficed lately; Infinity if there is none. */
  #sufficientMs(lowerMs: number): number {
    return Math.min(...this.#upper.filter(({ ageMs }) => ageMs > lowerMs).map(({ ageMs }) => ageMs));
  }

  /** Raises the estimate to the shortest time above the lower bound that sufficed lately, within a step of the bound. */
  #raise(lowerMs: number, nowMs: number): void {
    const targetMs = Math.min(this.#sufficientMs(lowerMs), lowerMs * MAX_STEP);
    const raisedMs = Math.max(targetMs, lowerMs + marginOf(lowerMs));
    this.#estimateMs = Math.min(raisedMs, this.#initialMs * MAX_FACTOR);
    const isSameCause = nowMs - this.#lastRaisedMs < this.#estimateMs;
    const isConfirmed =
      Math.abs(lowerMs - this.#lastLowerMs) <= CONFIRMED_MARGINS * marginOf(this.#lastLowerMs);
    if (!isConfirmed) this.#keptMs = MIN_KEPT_MS;
    else if (!isSameCause) this.#keptMs = Math.min(this.#keptMs * 2, MAX_KEPT_MS);
    this.#lastLowerMs = lowerMs;
    this.#lastRaisedMs = nowMs;
  }

  /** Lowers the estimate for the time since the last call, as far as the bounds allow. */
  #lowerByTime(): void {
    const nowMs = this.#clock.now();
    const elapsedMs = nowMs - this.#loweredMs;
    if (elapsedMs < DECREASE_PERIOD_MS) return;
    this.#loweredMs = nowMs;
    const lowerMs = this.lowerBoundMs;
    const sufficientMs = this.#sufficientMs(lowerMs);
    if (!Number.isFinite(sufficientMs)) return;
    const floorMs = Math.max(lowestToTry(lowerMs, sufficientMs), this.#initialMs * MIN_FACTOR);
    const loweredMs = this.#estimateMs * Math.exp(-DECREASE_PER_MS * elapsedMs);
    this.#estimateMs = Math.min(this.#estimateMs, Math.max(loweredMs, floorMs));
  }
}

/** Down to which time the estimate may be lowered, between a lower bound and a time that sufficed. */
function lowestToTry(lowerMs: number, sufficientMs: number): number {
  if (lowerMs === 0) return sufficientMs * UNTRIED_FACTOR;
  const middleMs = Math.max((lowerMs + sufficientMs) / 2, sufficientMs * UNTRIED_FACTOR);
  return Math.max(middleMs, lowerMs + marginOf(lowerMs));
}

function marginOf(ageMs: number): number {
  return Math.max(ageMs * MARGIN_SHARE, MARGIN_MS);
}

/** Returns the bounds with another one, without the oldest ones if there are too many. */
function append<T extends Bound>(bounds: readonly T[], bound: T): T[] {
  return [...bounds.slice(-(MAX_BOUNDS - 1)), bound];
}
