import type { Clock } from '@canvasridge/clock';

/** A home node's answer to a node that wants to run a quarantined request on trial. */
export interface TrialVote {
  readonly isGranted: boolean;
  /** Number of home nodes when the request was quarantined: a trial needs the votes of more than half of them. */
  readonly homes: number;
  /** Time until this home may vote for the next trial, in milliseconds; absent if it votes for no other. */
  readonly waitMs?: number | undefined;
}

/** A quarantine that this home has counted. */
export interface CountedQuarantine {
  readonly fingerprint: string;
  readonly episode: number;
  /** Number of home nodes now. */
  readonly homes: number;
  /** Time since the last crash that was counted, in milliseconds; Infinity if unknown. */
  readonly ageMs: number;
}

interface Election {
  episode: number;
  readonly homes: number;
  readonly openedMs: number;
  votes: number;
  /** When the request was quarantined, or when this home last voted for a trial. */
  lastMs: number;
}

/**
 * Time from the quarantine to the first trial, and from one trial to the next, in milliseconds: backends that
 * failed together restart within seconds, and a run of the request that shows its effect takes some seconds at
 * most.
 */
export const TRIAL_DELAYS_MS: readonly number[] = [1000, 10_000];
/** Homes learn of a quarantine, and are asked for a trial, at slightly different times. */
const TOLERANCE_MS = 100;
/** Time within which a trial completes or fails, and its clients are told to return. */
const RESULT_WITHIN_MS = 5000;
/** Time within which the nodes report the completed runs of a request after its quarantine. */
const REPORTED_WITHIN_MS = 5000;
const REPORT_PAUSE_MS = 1000;
/** More than are quarantined at a time. */
const MAX_ELECTIONS = 64;

/**
 * A home node's votes for trials: single runs of quarantined requests, which show whether a request still
 * crashes its backend.
 *
 * Each trial needs the votes of a majority of the homes, and each home votes once for each of
 * `TRIAL_DELAYS_MS`. Three homes thus allow three trials at most, whichever of them fail or are cut off, and two
 * while all of them answer. Only requests that were served at some time get trials. Votes are kept in memory only, so a process votes only on requests whose
 * quarantine it counted before the first trial was possible: it can't know of the trials before.
 */
export class TrialVotes {
  readonly #clock: Clock;
  readonly #delaysMs: readonly number[];
  /** Oldest first. */
  readonly #elections = new Map<string, Election>();

  constructor(clock: Clock, delaysMs: readonly number[] = TRIAL_DELAYS_MS) {
    this.#clock = clock;
    this.#delaysMs = delaysMs;
  }

  /** Allows votes on a request if no other home can have voted for a trial of it yet. */
  open({ fingerprint, episode, homes, ageMs }: CountedQuarantine): void {
    const [firstDelayMs = 0] = this.#delaysMs;
    if (ageMs >= firstDelayMs || this.#elections.get(fingerprint)?.episode === episode) return;
    this.#elections.delete(fingerprint);
    const openedMs = this.#clock.now();
    this.#elections.set(fingerprint, { episode, homes, openedMs, votes: 0, lastMs: openedMs - ageMs });
    const oldest = this.#elections.keys().next();
    if (this.#elections.size > MAX_ELECTIONS && oldest.done !== true) this.#elections.delete(oldest.value);
  }

  /**
   * Goes on with an earlier quarantine of the request under the number of a later one: the other homes released it
   * and quarantined it again, so this home knows of all trials before, too.
   */
  follow(fingerprint: string, episode: number): void {
    const election = this.#elections.get(fingerprint);
    if (election !== undefined && election.episode < episode) election.episode = episode;
  }

  clear(): void {
    this.#elections.clear();
  }

  /**
   * Votes on the next trial; undefined if this home can't know how many there were.
   * @param hasCompleted whether a run of the request was ever completed
   */
  vote(fingerprint: string, episode: number, hasCompleted: boolean): TrialVote | undefined {
    const election = this.#elections.get(fingerprint);
    if (election?.episode !== episode) return undefined;
    if (!hasCompleted) return this.#refuseUnserved(election);
    const untilNextMs = this.#untilNextMs(election);
    const isGranted = untilNextMs !== undefined && untilNextMs <= TOLERANCE_MS;
    if (isGranted) {
      election.votes += 1;
      election.lastMs = this.#clock.now();
    }
    const waitMs = this.#untilNextMs(election) ?? this.#untilResultMs(election);
    return { isGranted, homes: election.homes, waitMs };
  }

  /** Refuses a request that was never served, and thus hardly is running on several backends by chance. */
  #refuseUnserved({ homes, openedMs }: Election): TrialVote {
    const isReportExpected = this.#clock.now() - openedMs < REPORTED_WITHIN_MS;
    return { isGranted: false, homes, waitMs: isReportExpected ? REPORT_PAUSE_MS : undefined };
  }

  /** Time until this home may vote again; undefined if it has no vote left. */
  #untilNextMs({ votes, lastMs }: Election): number | undefined {
    const delayMs = this.#delaysMs[votes];
    return delayMs === undefined ? undefined : lastMs + delayMs - this.#clock.now();
  }

  /** Time until the result of the last trial is known; undefined after that. */
  #untilResultMs({ lastMs }: Election): number | undefined {
    const untilMs = lastMs + RESULT_WITHIN_MS - this.#clock.now();
    return untilMs > 0 ? untilMs : undefined;
  }
}
