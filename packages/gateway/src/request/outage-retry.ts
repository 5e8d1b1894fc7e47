import { RETRY_ELSEWHERE_MS } from '../backends/backend-availability.js';

/** What a node that cannot serve yet knows of the reason. */
export interface OutageView {
  /** How long the outage has lasted so far as this node can tell, in milliseconds; 0 or more. */
  readonly lastedMs: number;
  /** The first read of the published state is under way, or a peer that holds the state was found: nothing failed so far. */
  readonly isReading: boolean;
  /** This node lost sight of nodes that it saw before: they may be healthy. */
  readonly isCutOff: boolean;
  /** Time that the caller has left, in milliseconds; Infinity if it named no deadline. */
  readonly callerLeftMs: number;
}

/** Decides when a caller that this node cannot serve should come back. */
export interface OutageRetry {
  /** Milliseconds until the caller should retry; above 0. */
  retryAfterMs(view: OutageView): number;
}

/** A first read of the published state normally ends within this time, in milliseconds. */
const FIRST_READ_MS = 500;
/** Shortest time told while the first read is under way, in milliseconds. */
const MIN_READING_RETRY_MS = 250;
/** Shortest time told once a read has failed, in milliseconds: a dependency that was restarted takes about this long. */
const MIN_OUTAGE_RETRY_MS = 1000;
/** A caller waits for at least this share of its time: it returns while it can still be served, and less often too early. */
const MIN_CALLER_SHARE = 1 / 8;
/** Longest time told before it is spread, in milliseconds. Callers limit it further to a share of their own time. */
const MAX_RETRY_MS = 6000;
/** Callers that are told to return at the same time are spread over this share of the wait beyond it. */
const SPREAD_SHARE = 1;

/**
 * Retry-After that grows with the outage: an outage that has lasted for some time is expected to last about as long again.
 * The caller may have a single retry, so it should return when the outage is likely over rather than as early as possible.
 */
export class GrowingOutageRetry implements OutageRetry {
  readonly #random: () => number;

  /** @param random uniform in [0, 1) */
  constructor(random: () => number) {
    this.#random = random;
  }

  retryAfterMs(view: OutageView): number {
    if (view.isCutOff) return RETRY_ELSEWHERE_MS;
    const waitMs = Math.min(this.#expectedMs(view), MAX_RETRY_MS);
    return Math.round(waitMs * (1 + SPREAD_SHARE * this.#random()));
  }

  #expectedMs({ lastedMs, isReading, callerLeftMs }: OutageView): number {
    if (isReading && lastedMs < FIRST_READ_MS)
      return Math.max(FIRST_READ_MS - lastedMs, MIN_READING_RETRY_MS);
    const callerMs = Number.isFinite(callerLeftMs) ? callerLeftMs * MIN_CALLER_SHARE : 0;
    return Math.max(lastedMs, MIN_OUTAGE_RETRY_MS, callerMs);
  }
}

/** The same times for every outage; for measurements. */
export class FixedOutageRetry implements OutageRetry {
  readonly #waitMs: number;

  constructor(waitMs: number) {
    this.#waitMs = waitMs;
  }

  retryAfterMs(): number {
    return this.#waitMs;
  }
}
