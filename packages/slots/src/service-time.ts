/** Estimate before anything was observed, in ms, outweighed after a few requests. */
const INITIAL_MS = 100;
/** Weight of the initial estimate or the pool's mean, in requests. */
const PRIOR_REQUESTS = 2;
/** Half-life of the observations of one backend, in ms. */
const BACKEND_HALF_LIFE_MS = 300;
/** A backend this many times slower than the mean of its pool counts as slow. */
const SLOW_FACTOR = 1.5;
/** Half-life of the observations of a whole pool, in ms. */
const POOL_HALF_LIFE_MS = 5000;

/**
 * Estimates the mean service time of a backend: the time its requests have run, including those that still run, divided by
 * the number of requests served. So a backend that becomes slow is noticed before a slow response has ended. Old
 * observations decay in time, which brings the estimate of an unused backend back to the pool's mean.
 */
export class ServiceTime {
  readonly #pool: ServiceTime | undefined;
  readonly #halfLifeMs: number;
  #running = 0;
  #busyMs = 0;
  #served = 0;
  #updatedMs: number;

  /** @param pool the estimate over all backends of the pool, which this one updates and falls back to */
  constructor(nowMs: number, pool?: ServiceTime) {
    this.#pool = pool;
    this.#halfLifeMs = pool === undefined ? POOL_HALF_LIFE_MS : BACKEND_HALF_LIFE_MS;
    this.#updatedMs = nowMs;
  }

  /** Records that a request starts to run. */
  begin(nowMs: number): void {
    this.#advance(nowMs);
    this.#running += 1;
    this.#pool?.begin(nowMs);
  }

  /** Records that a request has ended. */
  end(nowMs: number, served: boolean): void {
    this.#advance(nowMs);
    this.#running -= 1;
    if (served) this.#served += 1;
    this.#pool?.end(nowMs, served);
  }

  /** The mean service time, in ms. */
  meanMs(nowMs: number): number {
    this.#advance(nowMs);
    const priorMs = this.#pool?.meanMs(nowMs) ?? INITIAL_MS;
    return (this.#busyMs + priorMs * PRIOR_REQUESTS) / (this.#served + PRIOR_REQUESTS);
  }

  /** Whether the mean is far above that of the pool. */
  isSlow(nowMs: number): boolean {
    return this.#pool !== undefined && this.meanMs(nowMs) > this.#pool.meanMs(nowMs) * SLOW_FACTOR;
  }

  #advance(nowMs: number): void {
    const spanMs = nowMs - this.#updatedMs;
    if (spanMs <= 0) return;
    const kept = 0.5 ** (spanMs / this.#halfLifeMs);
    this.#busyMs = this.#busyMs * kept + this.#running * spanMs;
    this.#served *= kept;
    this.#updatedMs = nowMs;
  }
}
