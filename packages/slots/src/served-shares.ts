import type { PoolRequest } from './slot-request.js';

/** Half-life of the counts, in ms: an overload that is over counts no more after a few of them. */
const HALF_LIFE_MS = 5000;
/** A kind is served at least this often, relative to all requests of the pool. */
const LEAST_RELATIVE_SHARE = 0.5;
/** Kinds that are counted, at most; the one that was counted longest ago is forgotten. */
const MAX_KINDS = 4096;
/** A priority with fewer requests than this is left out of log lines. */
const MIN_DESCRIBED = 1;
const MAX_DESCRIBED_PRIORITIES = 10;

interface Counts {
  asked: number;
  granted: number;
  updatedMs: number;
}

/**
 * Counts how many requests of each kind asked for a slot of a pool and how many were granted one. A kind is a route and a
 * priority: requests that differ in neither are ordered by urgency alone. Recent requests count more than old ones.
 */
export class ServedShares {
  readonly #kinds = new Map<string, Counts>();
  readonly #all: Counts = { asked: 0, granted: 0, updatedMs: 0 };

  recordAsked(request: PoolRequest, nowMs: number): void {
    this.#count(request, nowMs).asked += 1;
    decay(this.#all, nowMs).asked += 1;
  }

  recordGranted(request: PoolRequest, nowMs: number): void {
    this.#count(request, nowMs).granted += 1;
    decay(this.#all, nowMs).granted += 1;
  }

  /** How many more requests of this one's kind have to be granted for the kind to have its least share; at least 0. */
  missing(request: PoolRequest, nowMs: number): number {
    const counts = this.#kinds.get(kindOf(request));
    if (counts === undefined) return 0;
    const all = decay(this.#all, nowMs);
    if (all.asked === 0) return 0;
    const { asked, granted } = decay(counts, nowMs);
    return Math.max(0, LEAST_RELATIVE_SHARE * (all.granted / all.asked) * asked - granted);
  }

  /** Share of the recent requests of each priority that were granted a slot, most urgent first; for log lines. */
  describe(nowMs: number): string {
    const byPriority = new Map<number, Counts>();
    for (const [kind, { asked, granted, updatedMs }] of this.#kinds) {
      const priority = Number.parseInt(kind, 10);
      const sum = byPriority.get(priority) ?? { asked: 0, granted: 0, updatedMs: nowMs };
      const counts = decay({ asked, granted, updatedMs }, nowMs);
      sum.asked += counts.asked;
      sum.granted += counts.granted;
      byPriority.set(priority, sum);
    }
    return [...byPriority]
      .filter(([, { asked }]) => asked >= MIN_DESCRIBED)
      .sort(([a], [b]) => a - b)
      .slice(0, MAX_DESCRIBED_PRIORITIES)
      .map(([priority, { asked, granted }]) => `${priority}:${(granted / asked).toFixed(2)}`)
      .join(' ');
  }

  /** The counts of the request's kind, which becomes the one that was counted last. */
  #count(request: PoolRequest, nowMs: number): Counts {
    const kind = kindOf(request);
    const counts = decay(this.#kinds.get(kind) ?? { asked: 0, granted: 0, updatedMs: nowMs }, nowMs);
    this.#kinds.delete(kind);
    this.#kinds.set(kind, counts);
    const oldest = this.#kinds.keys().next();
    if (this.#kinds.size > MAX_KINDS && oldest.done !== true) this.#kinds.delete(oldest.value);
    return counts;
  }
}

/** Identifies the kind of a request. */
export function kindOf({ route = '', priority }: PoolRequest): string {
  return `${priority} ${route}`;
}

function decay(counts: Counts, nowMs: number): Counts {
  const kept = 0.5 ** (Math.max(0, nowMs - counts.updatedMs) / HALF_LIFE_MS);
  counts.asked *= kept;
  counts.granted *= kept;
  counts.updatedMs = nowMs;
  return counts;
}
