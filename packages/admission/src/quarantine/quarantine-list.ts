import type { Clock } from '@canvasridge/clock';

/**
 * How long a request stays quarantined. After that it may run again and, if it still crashes backends, crash
 * as many of them as the first time before it is quarantined again: three in an hour.
 */
export const QUARANTINE_MS = 3_600_000;
/** As many entries as fit into one gossip datagram with their ages: 32 of 24 bytes each. */
const MAX_QUARANTINED = 32;
/** Entries dropped from a full list that are remembered: more than several nodes list together. */
const MAX_DROPPED = 256;
/** As many as fit into one gossip datagram: 32 of 20 bytes each. */
const MAX_LIFTED = 32;

/** A quarantined request, in the form that nodes exchange. */
export interface QuarantinedRequest {
  readonly fingerprint: string;
  /**
   * Time since it was quarantined: an age and not a time stamp, as the clocks of the nodes have different
   * zero points.
   */
  readonly ageMs: number;
  /**
   * Number of the quarantine among those of this request, from 1: see {@link QuarantineList.lift}. Absent for
   * the first, as nodes of builds without early ends report it.
   */
  readonly episode?: number;
}

/** A quarantine that was ended early, in the form that nodes exchange. */
export interface LiftedQuarantine {
  readonly fingerprint: string;
  /** This quarantine of the request, and all before it, have ended. */
  readonly episode: number;
}

interface ListedRequest {
  readonly endMs: number;
  readonly episode: number;
}

interface Lift {
  readonly atMs: number;
  readonly episode: number;
}

/**
 * The quarantined requests, which are sent to no backend, by fingerprint.
 *
 * Nodes learn of a quarantine and of its early end from different nodes and in any order, so quarantines of a
 * request are numbered: one that is reported after its end has a number that has ended.
 */
export class QuarantineList {
  readonly #clock: Clock;
  /** In the order in which their quarantines end, earliest first. */
  readonly #listed = new Map<string, ListedRequest>();
  /** Number of the last quarantine of each request that was dropped from the full list, oldest first. */
  readonly #dropped = new Map<string, number>();
  /** Oldest first; kept for as long as another node may still report the quarantine. */
  readonly #lifted = new Map<string, Lift>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get size(): number {
    return this.#listed.size;
  }

  get fingerprints(): readonly string[] {
    return [...this.#listed.keys()];
  }

  /** The number of the request's next quarantine. */
  nextEpisode(fingerprint: string): number {
    return (this.#lifted.get(fingerprint)?.episode ?? 0) + 1;
  }

  /** The number of the request's current quarantine; undefined if it is not quarantined. */
  episode(fingerprint: string): number | undefined {
    return this.#listed.get(fingerprint)?.episode;
  }

  /**
   * Returns whether the request was added: it was not listed, its quarantine is not over, and, if the list is
   * full, it does not end before all listed ones. The entry that ends first is dropped from a full list.
   * @param isReported whether another node reports it: one that was dropped is not added again then, as nodes with full
   * lists would go on telling one another of what each of them has dropped
   */
  add({ fingerprint, ageMs, episode = 1 }: QuarantinedRequest, isReported = false): boolean {
    this.#removeExpired();
    if (isReported && episode <= (this.#dropped.get(fingerprint) ?? 0)) return false;
    if (ageMs >= QUARANTINE_MS || episode < this.nextEpisode(fingerprint)) return false;
    const listed = this.#listed.get(fingerprint);
    if (listed !== undefined && listed.episode >= episode) return false;
    this.#listed.set(fingerprint, { endMs: this.#clock.now() + QUARANTINE_MS - ageMs, episode });
    const ordered = [...this.#listed].sort(([, a], [, b]) => a.endMs - b.endMs);
    for (const [key, request] of ordered.slice(0, -MAX_QUARANTINED)) this.#recordDropped(key, request);
    this.#listed.clear();
    for (const [key, request] of ordered.slice(-MAX_QUARANTINED)) this.#listed.set(key, request);
    return this.#listed.has(fingerprint);
  }

  #recordDropped(fingerprint: string, dropped: ListedRequest): void {
    this.#dropped.delete(fingerprint);
    this.#dropped.set(fingerprint, dropped.episode);
    const oldest = this.#dropped.keys().next();
    if (this.#dropped.size > MAX_DROPPED && oldest.done !== true) this.#dropped.delete(oldest.value);
  }

  /**
   * Ends a quarantine, and those of the request before it. Returns whether that was not known, so that it has
   * to be passed on.
   */
  lift({ fingerprint, episode }: LiftedQuarantine): boolean {
    this.#removeExpired();
    if (episode < this.nextEpisode(fingerprint)) return false;
    this.#lifted.delete(fingerprint);
    this.#lifted.set(fingerprint, { atMs: this.#clock.now(), episode });
    const oldest = this.#lifted.keys().next();
    if (this.#lifted.size > MAX_LIFTED && oldest.done !== true) this.#lifted.delete(oldest.value);
    const listed = this.#listed.get(fingerprint);
    if (listed !== undefined && listed.episode <= episode) this.#listed.delete(fingerprint);
    return true;
  }

  /** Remaining time of the request's quarantine in milliseconds; undefined if it is not quarantined. */
  remainingMs(fingerprint: string): number | undefined {
    const listed = this.#listed.get(fingerprint);
    if (listed === undefined) return undefined;
    const remainingMs = listed.endMs - this.#clock.now();
    return remainingMs > 0 ? remainingMs : undefined;
  }

  /** Time since the request was quarantined, in milliseconds; undefined if it is not quarantined. */
  ageMs(fingerprint: string): number | undefined {
    const remainingMs = this.remainingMs(fingerprint);
    return remainingMs === undefined ? undefined : QUARANTINE_MS - remainingMs;
  }

  entries(): QuarantinedRequest[] {
    this.#removeExpired();
    const nowMs = this.#clock.now();
    return [...this.#listed].map(([fingerprint, { endMs, episode }]) => ({
      fingerprint,
      ageMs: Math.round(QUARANTINE_MS - (endMs - nowMs)),
      episode,
    }));
  }

  lifted(): LiftedQuarantine[] {
    this.#removeExpired();
    return [...this.#lifted].map(([fingerprint, { episode }]) => ({ fingerprint, episode }));
  }

  #removeExpired(): void {
    const nowMs = this.#clock.now();
    for (const [fingerprint, { endMs }] of this.#listed) {
      if (endMs <= nowMs) this.#listed.delete(fingerprint);
    }
    for (const [fingerprint, { atMs }] of this.#lifted) {
      if (nowMs - atMs >= QUARANTINE_MS) this.#lifted.delete(fingerprint);
    }
  }
}
