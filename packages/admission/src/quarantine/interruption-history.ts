import type { Clock } from '@canvasridge/clock';

/**
 * How long interruptions of a request count. Callers that retry do so within minutes. With a longer window, a
 * backend that crashes by itself every few minutes would make every request that is sent repeatedly look like
 * the cause.
 */
export const INTERRUPTION_WINDOW_MS = 600_000;
/**
 * Maximum number of tracked requests. A crash of an engine interrupts up to 96 requests (one for each of its
 * slots), so this covers the crashes of some 40 engines within the window. An entry takes some 200 bytes, all
 * together under 1 MB.
 */
const MAX_TRACKED_REQUESTS = 4096;

interface RequestRuns {
  /** By backend: when the last run that its crash interrupted was sent, in milliseconds. */
  readonly interruptedSentMs: Map<string, number>;
  /** When the last completed run was sent; -Infinity if none is known. */
  completedSentMs: number;
  /** When the last interruption was recorded. */
  lastMs: number;
}

/**
 * Counts for each request, by its fingerprint, the different backends that failed while running it.
 *
 * A completed run shows that the request did not crash backends when that run was sent, so interruptions of
 * runs sent up to then have another cause and do not count. It shows nothing about runs sent later: the
 * request may crash backends only since then. Both may be recorded in any order.
 */
export class InterruptionHistory {
  readonly #clock: Clock;
  /** In the order of the last change, oldest first. */
  readonly #byFingerprint = new Map<string, RequestRuns>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Records that a backend failed while running the request.
   * @param backendId identifies one start of a backend's process, so that reports of several nodes on one
   * failure count once
   * @param sentMs when the run was sent, on this object's clock
   * @returns the number of different backends on which the request was interrupted recently, see {@link count}
   */
  record(fingerprint: string, backendId: string, sentMs = this.#clock.now()): number {
    const runs = this.#touch(fingerprint);
    runs.interruptedSentMs.set(
      backendId,
      Math.max(sentMs, runs.interruptedSentMs.get(backendId) ?? -Infinity),
    );
    runs.lastMs = this.#clock.now();
    return this.count(fingerprint);
  }

  /** Records that a backend completed a run of the request that was sent at `sentMs`. */
  recordCompleted(fingerprint: string, sentMs: number): void {
    const runs = this.#touch(fingerprint);
    runs.completedSentMs = Math.max(runs.completedSentMs, sentMs);
    for (const [backendId, interruptedSentMs] of runs.interruptedSentMs)
      if (interruptedSentMs <= runs.completedSentMs) runs.interruptedSentMs.delete(backendId);
  }

  /** Number of backends that failed during runs which were sent after the last completed one was. */
  count(fingerprint: string): number {
    const runs = this.#byFingerprint.get(fingerprint);
    if (runs === undefined || !this.#isRecent(runs)) return 0;
    return [...runs.interruptedSentMs.values()].filter((sentMs) => sentMs > runs.completedSentMs).length;
  }

  /** Whether a completed run of the request is known, however old. */
  hasCompleted(fingerprint: string): boolean {
    return (this.#byFingerprint.get(fingerprint)?.completedSentMs ?? -Infinity) > -Infinity;
  }

  /** Removes the interruptions of a request that did not cause the failures of its backends. */
  forget(fingerprint: string): void {
    this.#byFingerprint.get(fingerprint)?.interruptedSentMs.clear();
  }

  /** Requests with a {@link count} of at least `backends`, most recently changed first. */
  suspects(backends: number): string[] {
    return [...this.#byFingerprint.keys()]
      .filter((fingerprint) => this.count(fingerprint) >= backends)
      .reverse();
  }

  #isRecent({ lastMs }: RequestRuns): boolean {
    return this.#clock.now() - lastMs <= INTERRUPTION_WINDOW_MS;
  }

  /** The request's entry, which becomes the newest one; an entry beyond the window starts anew. */
  #touch(fingerprint: string): RequestRuns {
    const known = this.#byFingerprint.get(fingerprint);
    const runs =
      known !== undefined && this.#isRecent(known)
        ? known
        : {
            interruptedSentMs: new Map<string, number>(),
            completedSentMs: known?.completedSentMs ?? -Infinity,
            lastMs: this.#clock.now(),
          };
    this.#byFingerprint.delete(fingerprint);
    this.#byFingerprint.set(fingerprint, runs);
    const oldest = this.#byFingerprint.keys().next();
    if (this.#byFingerprint.size > MAX_TRACKED_REQUESTS && oldest.done !== true)
      this.#byFingerprint.delete(oldest.value);
    return runs;
  }
}
