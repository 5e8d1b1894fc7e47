import type { PoolRequest } from './slot-request.js';

/** Half-life of the counts, in ms: an overload that is over counts no more after a few of them. */
const HALF_LIFE_MS = 5000;
/** A kind is served at least this often, relative to all requests of the pool. */
const LEAST_RELATIVE_SHARE = 0.5;
/** Each level of priority leaves at most this fraction of the unserved requests of the next less urgent one. */
const UNSERVED_PER_LEVEL = 0.75;
/** Kinds that are counted, at most; the one that was counted longest ago is forgotten. */
const MAX_KINDS = 4096;
/** Fewer recent requests than this have no share. */
const MIN_COUNTED = 1;
const MAX_DESCRIBED_PRIORITIES = 10;

/** Grants that a kind of request lacks, each at least 0. */
export interface MissingGrants {
  /** For its least share of what all kinds get. */
  readonly least: number;
  /** To be served more often than less urgent kinds, as far as its priority is above theirs. */
  readonly rank: number;
}

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
  /** Over all routes, by priority. */
  readonly #priorities = new Map<number, Counts>();
  readonly #all: Counts = newCounts(0);

  recordAsked(request: PoolRequest, nowMs: number): void {
    for (const counts of this.#countsOf(request, nowMs)) counts.asked += 1;
  }

  recordGranted(request: PoolRequest, nowMs: number): void {
    for (const counts of this.#countsOf(request, nowMs)) counts.granted += 1;
  }

  /** How many more requests of this one's kind have to be granted for the kind to have its shares. */
  missing(request: PoolRequest, nowMs: number): MissingGrants {
    const counts = this.#kinds.get(kindOf(request));
    if (counts === undefined) return { least: 0, rank: 0 };
    const { asked, granted } = decay(counts, nowMs);
    const leastShare = LEAST_RELATIVE_SHARE * shareOf(decay(this.#all, nowMs));
    return {
      least: Math.max(0, leastShare * asked - granted),
      rank: Math.max(0, this.#rankShare(request, nowMs) * asked - granted),
    };
  }

  /** Share of the recent requests of each priority that were granted a slot, most urgent first; for log lines. */
  describe(nowMs: number): string {
    return [...this.#priorities]
      .filter(([, counts]) => decay(counts, nowMs).asked >= MIN_COUNTED)
      .sort(([a], [b]) => a - b)
      .slice(0, MAX_DESCRIBED_PRIORITIES)
      .map(([priority, counts]) => `${priority}:${shareOf(counts).toFixed(2)}`)
      .join(' ');
  }

  /** The share that a kind has by its priority, given the shares of less urgent ones; 0 if there are none. */
  #rankShare({ priority }: PoolRequest, nowMs: number): number {
    let highest = 0;
    for (const [other, counts] of this.#priorities) {
      if (other <= priority || decay(counts, nowMs).asked < MIN_COUNTED) continue;
      const unserved = (1 - shareOf(counts)) * UNSERVED_PER_LEVEL ** (other - priority);
      highest = Math.max(highest, 1 - unserved);
    }
    return highest;
  }

  /** All counts to which a request belongs, as of now. */
  #countsOf(request: PoolRequest, nowMs: number): Counts[] {
    const { priority } = request;
    const ofPriority = this.#priorities.get(priority) ?? newCounts(nowMs);
    this.#priorities.set(priority, ofPriority);
    return [this.#countsOfKind(request, nowMs), decay(ofPriority, nowMs), decay(this.#all, nowMs)];
  }

  /** The counts of the request's kind, which becomes the one that was counted last. */
  #countsOfKind(request: PoolRequest, nowMs: number): Counts {
    const kind = kindOf(request);
    const counts = decay(this.#kinds.get(kind) ?? newCounts(nowMs), nowMs);
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

function newCounts(nowMs: number): Counts {
  return { asked: 0, granted: 0, updatedMs: nowMs };
}

/** A share of less than one recent request says nothing and counts as 0. */
function shareOf({ asked, granted }: Counts): number {
  return asked < MIN_COUNTED ? 0 : granted / asked;
}

function decay(counts: Counts, nowMs: number): Counts {
  const kept = 0.5 ** (Math.max(0, nowMs - counts.updatedMs) / HALF_LIFE_MS);
  counts.asked *= kept;
  counts.granted *= kept;
  counts.updatedMs = nowMs;
  return counts;
}
