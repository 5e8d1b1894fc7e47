import type { LoadUse } from './load-time.js';

/** Factor between the age at which an adapter was missing and the age at which it is tried next, by number of misses. */
const NEXT_TRY_FACTORS = [1.15, 1.3, 1.5];
/** An adapter that was believed to be in host memory is tried a second time at this multiple of the first age. */
const WARM_SECOND_TRY_FACTOR = 2;

/** A load whose order an engine accepted. */
export interface LoadStart {
  readonly engineId: string;
  readonly key: string;
  readonly acceptedMs: number;
  /** Whether the engine was believed to have the adapter in host memory. */
  readonly warm: boolean;
  readonly memoryDepth: number | undefined;
}

/** What is known of a load whose order the engine accepted. Ages count from the acceptance, when the engine starts it. */
export class LoadProgress {
  /** Identifies the load. */
  readonly load: string;
  readonly acceptedMs: number;
  /** Whether the engine was believed to have the adapter in host memory when the load was ordered. */
  readonly believedWarm: boolean;
  /** Position of the adapter among those recently used on the engine; undefined if the load tells nothing about its memory. */
  readonly memoryDepth: number | undefined;
  /** Since when the adapter has been considered loaded; -Infinity before that. */
  markedMs = -Infinity;
  /** Requests sent together count as one. */
  misses = 0;
  /** Age at which the adapter was last found missing; 0 if it was not. */
  missedAgeMs = 0;

  /** Whether it is tried before the estimated time, to test the estimate. */
  readonly isTrial: boolean;

  constructor(start: LoadStart, isTrial: boolean) {
    const { engineId, key, acceptedMs } = start;
    this.load = `${engineId}/${key}/${acceptedMs}`;
    this.acceptedMs = acceptedMs;
    this.believedWarm = start.warm;
    this.memoryDepth = start.memoryDepth;
    this.isTrial = isTrial;
  }

  /** A use of the adapter by a request sent at this time. */
  useAt(sentMs: number): LoadUse {
    return { load: this.load, acceptedMs: this.acceptedMs, ageMs: sentMs - this.acceptedMs };
  }

  /** Records that a request sent at this age found the adapter missing. */
  recordMiss(ageMs: number): void {
    this.misses += 1;
    this.missedAgeMs = ageMs;
  }

  /** Age at which a missing adapter should be tried next at the earliest, after at least one miss. */
  get nextTryAgeMs(): number {
    if (this.believedWarm && this.misses === 1) return this.missedAgeMs * WARM_SECOND_TRY_FACTOR;
    const index = Math.min(this.misses, NEXT_TRY_FACTORS.length) - 1;
    return this.missedAgeMs * (NEXT_TRY_FACTORS[index] ?? 1);
  }
}
