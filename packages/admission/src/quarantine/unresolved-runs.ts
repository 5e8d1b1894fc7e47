import type { Clock } from '@canvasridge/clock';

/** A backend that crashed is missing from the published list after this time, in most cases. */
const RESOLVED_WITHIN_MS = 8000;
/** Runs that are remembered, at most: what runs on three engines when a node loses its path to them. */
const MAX_RUNS = 256;

/** A run of a request that ended without showing whether its backend crashed. */
export interface UnresolvedRun {
  readonly fingerprint: string;
  readonly backendId: string;
  /** When it was sent, in milliseconds. */
  readonly sentMs: number;
}

interface RememberedRun extends UnresolvedRun {
  readonly endedMs: number;
}

/**
 * Runs whose node learnt nothing of their end: nothing more was received, the node lost its path to the backend, or the
 * client left. If the backend is found to have ended without an announcement, they count as interrupted by its crash.
 */
export class UnresolvedRuns {
  readonly #clock: Clock;
  /** Oldest first. */
  #runs: RememberedRun[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  record(run: UnresolvedRun): void {
    this.#runs.push({ ...run, endedMs: this.#clock.now() });
    this.#runs = this.#recent().slice(-MAX_RUNS);
  }

  /** Removes and returns the runs on a backend. */
  take(backendId: string): UnresolvedRun[] {
    const recent = this.#recent();
    this.#runs = recent.filter((run) => run.backendId !== backendId);
    return recent.filter((run) => run.backendId === backendId);
  }

  #recent(): RememberedRun[] {
    const nowMs = this.#clock.now();
    return this.#runs.filter(({ endedMs }) => nowMs - endedMs <= RESOLVED_WITHIN_MS);
  }
}
