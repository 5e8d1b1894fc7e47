/** Half-life of the lasting pace: adapters stay on an engine for that long. */
const LASTING_HALF_LIFE_MS = 20_000;
/** Half-life of the momentary pace: a slow moment is forgotten soon, also if the engine gets no requests in it. */
const MOMENTARY_HALF_LIFE_MS = 600;
/** Weight of the priors, as a time at the expected pace. */
const LASTING_PRIOR_MS = 600;
const MOMENTARY_PRIOR_MS = 120;
/** An observation tells the momentary pace at most for this long, as its earlier part is past. */
const MOMENTARY_SPAN_MS = 200;
/** Bounds of each observation and of the estimates. Beyond them something else than the engine's pace was seen. */
const MIN_PACE = 0.25;
const MAX_PACE = 6;

/**
 * The pace of one engine relative to its pool: 1 is the mean, 2 is half as fast. Learnt from the times that prompts and
 * streams took there and were expected to take in the pool. What was seen loses weight with time, so that an engine that
 * gets few requests because it was slow soon counts as average again.
 */
export class EnginePace {
  /** Logarithms, so that a short extreme moves the mean little. */
  readonly #lasting = new DecayedMean(LASTING_HALF_LIFE_MS);
  readonly #momentary = new DecayedMean(MOMENTARY_HALF_LIFE_MS);

  /** Pace over tens of seconds, for choices that last, such as where to load an adapter. */
  lasting(nowMs: number): number {
    return Math.exp(this.#lasting.value(nowMs, 0, LASTING_PRIOR_MS));
  }

  /** Pace of the last half second; without recent observations the lasting one. */
  momentary(nowMs: number): number {
    return this.#momentary.value(nowMs, this.lasting(nowMs), MOMENTARY_PRIOR_MS);
  }

  /**
   * Records that something took this long on the engine.
   * @param expectedMs how long it takes on an engine of the pool's mean pace
   */
  observe(tookMs: number, expectedMs: number, nowMs: number): void {
    if (!(expectedMs > 0) || !Number.isFinite(tookMs)) return;
    const ratio = Math.min(Math.max(tookMs / expectedMs, MIN_PACE), MAX_PACE);
    this.#lasting.add(Math.log(ratio), expectedMs, nowMs);
    this.#momentary.add(ratio, Math.min(expectedMs, MOMENTARY_SPAN_MS), nowMs);
  }
}

/** A weighted mean whose observations lose weight with time. */
class DecayedMean {
  readonly #halfLifeMs: number;
  #sum = 0;
  #weight = 0;
  #atMs = 0;

  constructor(halfLifeMs: number) {
    this.#halfLifeMs = halfLifeMs;
  }

  value(nowMs: number, prior: number, priorWeight: number): number {
    const kept = this.#keptShare(nowMs);
    return (this.#sum * kept + prior * priorWeight) / (this.#weight * kept + priorWeight);
  }

  add(value: number, weight: number, nowMs: number): void {
    const kept = this.#keptShare(nowMs);
    this.#sum = this.#sum * kept + value * weight;
    this.#weight = this.#weight * kept + weight;
    this.#atMs = nowMs;
  }

  #keptShare(nowMs: number): number {
    return 0.5 ** (Math.max(nowMs - this.#atMs, 0) / this.#halfLifeMs);
  }
}
