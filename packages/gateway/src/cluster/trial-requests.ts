import { TRIAL_DELAYS_MS } from '@canvasridge/admission';
import type { Clock } from '@canvasridge/clock';
import type { Telemetry } from '@canvasridge/telemetry';
import type { TrialParams, TrialReply } from './quarantine-protocol.js';

export interface TrialRequestsOptions {
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  /** Ids of the home nodes, in the order in which all nodes ask them. */
  readonly homes: () => readonly string[];
  /** Asks one home for its vote; undefined if it did not answer, null if it can't vote. */
  readonly askHome: (id: string, params: TrialParams) => Promise<TrialReply | undefined>;
}

/** What this node knows about the next trial of a quarantined request. */
interface NextTrial {
  readonly episode: number;
  /** When this node may ask for it; Infinity if there is no other trial. */
  askMs: number;
}

interface BallotResult {
  readonly outcome: 'granted' | 'refused' | 'too-few-votes';
  readonly votes: number;
  /** Time until this node may ask for another trial, in milliseconds; undefined if there is no other. */
  readonly waitMs: number | undefined;
}

/** Longest time that the homes take to answer. */
const ASKING_MS = 1500;
/** Pause before asking again after too few homes answered, in milliseconds. */
const UNANSWERED_PAUSE_MS = 5000;
/** The same after too many homes answered that they can't vote: only other homes would help. */
const HOPELESS_PAUSE_MS = 60_000;

/** Asks the homes, for this node, to allow single runs of quarantined requests: see `TrialVotes`. */
export class TrialRequests {
  readonly #options: TrialRequestsOptions;
  readonly #nextTrials = new Map<string, NextTrial>();

  constructor(options: TrialRequestsOptions) {
    this.#options = options;
  }

  /** Call it when this node learns that a request was quarantined `ageMs` ago. */
  open(fingerprint: string, episode: number, ageMs: number): void {
    const [firstDelayMs = Infinity] = TRIAL_DELAYS_MS;
    this.#nextTrials.set(fingerprint, { episode, askMs: this.#options.clock.now() - ageMs + firstDelayMs });
  }

  /** Removes requests that are not quarantined any more. */
  retain(isQuarantined: (fingerprint: string) => boolean): void {
    for (const fingerprint of this.#nextTrials.keys())
      if (!isQuarantined(fingerprint)) this.#nextTrials.delete(fingerprint);
  }

  /** Time until this node may ask for a trial, at least 0; Infinity if it may not. */
  waitMs(fingerprint: string): number {
    const next = this.#nextTrials.get(fingerprint);
    return next === undefined ? Infinity : Math.max(0, next.askMs - this.#options.clock.now());
  }

  /**
   * Resolves to whether the request may be sent to one backend now. The homes are asked one after the other, so
   * that of several nodes that ask at the same time the first one gets all votes.
   */
  async request(fingerprint: string): Promise<boolean> {
    const next = this.#nextTrials.get(fingerprint);
    if (next === undefined || this.waitMs(fingerprint) > 0) return false;
    next.askMs = this.#options.clock.now() + ASKING_MS;
    const { outcome, votes, waitMs } = await this.#collectVotes({ fingerprint, episode: next.episode });
    next.askMs = this.#options.clock.now() + (waitMs ?? Infinity);
    this.#options.telemetry.event('info', 'quarantine.trial', fingerprint, {
      outcome,
      episode: next.episode,
      votes,
      waitMs: waitMs === undefined ? undefined : Math.round(waitMs),
    });
    return outcome === 'granted';
  }

  async #collectVotes(params: TrialParams): Promise<BallotResult> {
    const { homes, askHome } = this.#options;
    const ids = homes();
    let votes = 0;
    let abstentions = 0;
    let needed = majority(ids.length);
    let waitMs: number | undefined;
    for (const id of ids) {
      const vote = await askHome(id, params);
      if (vote === null) abstentions += 1;
      if (vote === undefined || vote === null) continue;
      ({ waitMs } = vote);
      if (!vote.isGranted) return { outcome: 'refused', votes, waitMs };
      votes += 1;
      needed = Math.max(needed, majority(vote.homes));
    }
    if (votes >= needed) return { outcome: 'granted', votes, waitMs };
    const isHopeless = ids.length - abstentions < needed;
    return { outcome: 'too-few-votes', votes, waitMs: isHopeless ? HOPELESS_PAUSE_MS : UNANSWERED_PAUSE_MS };
  }
}

function majority(count: number): number {
  return Math.floor(count / 2) + 1;
}
