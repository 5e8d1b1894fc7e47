import type { PoolRequest } from './slot-request.js';

/** Half-life of the counts, in ms: an overload that is over counts no more after a few of them. */
const HALF_LIFE_MS = 5000;
/** A kind is served at least this often, relative to all requests of the pool. */
const LEAST_RELATIVE_SHARE = 0.5;
/** Each level of priority is refused at most this fraction as often as the next less urgent one. */
const REFUSED_PER_LEVEL = 0.75;
/** Kinds that are counted, at most; the one that was counted longest ago is forgotten. */
const MAX_KINDS = 4096;
/** Fewer recent decisions than this have no share. */
const MIN_COUNTED = 1;
const MAX_DESCRIBED_PRIORITIES = 10;

/** Grants that a kind of request lacks, each at least 0. */
export interface MissingGrants {
  /** For its least share of what all kinds get. */
  readonly least: number;
  /** To be refused less often than less urgent kinds, as far as its priority is above theirs. */
  readonly rank: number;
}

interface Counts {
  asked: number;
  granted: number;
  refused: number;
  updatedMs: number;
}

/**
 * Counts how many requests of each kind asked for a slot of a pool, and how many were granted or refused one. A kind is a
 * route and a priority: requests that differ in neither are ordered by urgency alone. Recent requests count more than old ones.
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

  recordRefused(request: PoolRequest, nowMs: number): void {
    for (const counts of this.#countsOf(request, nowMs)) counts.refused += 1;
  }

  /** How many more requests of this one's kind have to be granted for the kind to have its shares. */
  missing(request: PoolRequest, nowMs: number): MissingGrants {
    const counts = this.#kinds.get(kindOf(request));
    if (counts === undefined) return { least: 0, rank: 0 };
    const { asked, granted, refused } = decay(counts, nowMs);
    const all = decay(this.#all, nowMs);
    const leastShare = all.asked === 0 ? 0 : (LEAST_RELATIVE_SHARE * all.granted) / all.asked;
    return {
      least: Math.max(0, leastShare * asked - granted),
      rank: Math.max(0, this.#rankShare(request, nowMs) * (granted + refused) - granted),
    };
  }

  /** Share of the recent decisions on each priority that granted a slot, most urgent first; for log lines. */
  describe(nowMs: number): string {
    return [...this.#priorities]
      .filter(([, counts]) => decidedOf(decay(counts, nowMs)) >= MIN_COUNTED)
      .sort(([a], [b]) => a - b)
      .slice(0, MAX_DESCRIBED_PRIORITIES)
      .map(([priority, counts]) => `${priority}:${shareOf(counts).toFixed(2)}`)
      .join(' ');
  }

  /** The share that a kind has by its priority, given the shares of less urgent ones; 0 if there are none. */
  #rankShare({ priority }: PoolRequest, nowMs: number): number {
    let highest = 0;
    for (const [other, counts] of this.#priorities) {
      if (other <= priority || decidedOf(decay(counts, nowMs)) < MIN_COUNTED) continue;
      const refusedShare = (1 - shareOf(counts)) * REFUSED_PER_LEVEL ** (other - priority);
      highest = Math.max(highest, 1 - refusedShare);
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
  return { asked: 0, granted: 0, refused: 0, updatedMs: nowMs };
}

function decidedOf({ granted, refused }: Counts): number {
  return granted + refused;
}

/** Requests that wait are in no share, as they may still be granted a slot. */
function shareOf({ granted, refused }: Counts): number {
  return granted / (granted + refused);
}

function decay(counts: Counts, nowMs: number): Counts {
  const kept = 0.5 ** (Math.max(0, nowMs - counts.updatedMs) / HALF_LIFE_MS);
  counts.asked *= kept;
  counts.granted *= kept;
  counts.refused *= kept;
  counts.updatedMs = nowMs;
  return counts;
}
