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

interface Interruptions {
  readonly backends: Set<string>;
  lastMs: number;
}

/** Counts for each request, by its fingerprint, the different backends that failed while running it. */
export class InterruptionHistory {
  readonly #clock: Clock;
  /** In the order of the last interruption, oldest first. */
  readonly #byFingerprint = new Map<string, Interruptions>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Records that a backend failed while running the request.
   * @param backendId identifies one start of a backend's process, so that reports of several nodes on one
   * failure count once
   * @returns the number of different backends on which the request was interrupted recently
   */
  record(fingerprint: string, backendId: string): number {
    const nowMs = this.#clock.now();
    const recorded = this.#byFingerprint.get(fingerprint);
    const isRecent = recorded !== undefined && nowMs - recorded.lastMs <= INTERRUPTION_WINDOW_MS;
    const interruptions = isRecent ? recorded : { backends: new Set<string>(), lastMs: nowMs };
    interruptions.backends.add(backendId);
    interruptions.lastMs = nowMs;
    this.#byFingerprint.delete(fingerprint);
    this.#byFingerprint.set(fingerprint, interruptions);
    this.#dropOldest();
    return interruptions.backends.size;
  }

  /**
   * Removes a request that did not cause the failures of its backends, or that no longer has to be counted.
   */
  forget(fingerprint: string): void {
    this.#byFingerprint.delete(fingerprint);
  }

  /**
   * Requests interrupted recently on at least `backends` different backends, most recently interrupted first.
   */
  suspects(backends: number): string[] {
    const nowMs = this.#clock.now();
    return [...this.#byFingerprint]
      .filter(
        ([, recorded]) =>
          recorded.backends.size >= backends && nowMs - recorded.lastMs <= INTERRUPTION_WINDOW_MS,
      )
      .map(([fingerprint]) => fingerprint)
      .reverse();
  }

  #dropOldest(): void {
    if (this.#byFingerprint.size <= MAX_TRACKED_REQUESTS) return;
    const oldest = this.#byFingerprint.keys().next();
    if (oldest.done !== true) this.#byFingerprint.delete(oldest.value);
  }
}
