import type { Clock } from '@canvasridge/clock';

/**
 * Interruptions that lie further back say nothing of a request any more: a caller that comes again does so within minutes,
 * and a backend that ends by itself every few minutes would make all that come again look guilty.
 */
export const INTERRUPTION_MS = 600_000;
/**
 * Requests that are remembered. All that run on an engine of 96 slots are interrupted when it ends, so 40 engines may end
 * within the time above; an entry takes some 200 bytes, all together under 1 MB.
 */
const MOST_REQUESTS = 4096;

interface Interruptions {
  readonly backends: Set<string>;
  lastMs: number;
}

/** Which backends broke off under each request, by its fingerprint. */
export class InterruptionLedger {
  readonly #clock: Clock;
  /** Those that were interrupted longest ago come first. */
  readonly #byFingerprint = new Map<string, Interruptions>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param backendId names one start of a backend's process, so that what several nodes tell of one end counts once
   * @returns under how many different backends the request was interrupted of late
   */
  note(fingerprint: string, backendId: string): number {
    const nowMs = this.#clock.now();
    const known = this.#byFingerprint.get(fingerprint);
    const isRecent = known !== undefined && nowMs - known.lastMs <= INTERRUPTION_MS;
    const interruptions = isRecent ? known : { backends: new Set<string>(), lastMs: nowMs };
    interruptions.backends.add(backendId);
    interruptions.lastMs = nowMs;
    this.#byFingerprint.delete(fingerprint);
    this.#byFingerprint.set(fingerprint, interruptions);
    this.#dropOldest();
    return interruptions.backends.size;
  }

  /** The request has nothing to do with the ends of its backends, or needs not be counted any more. */
  forget(fingerprint: string): void {
    this.#byFingerprint.delete(fingerprint);
  }

  /** Requests under which at least so many backends broke off of late, those interrupted last in front. */
  suspects(backends: number): string[] {
    const nowMs = this.#clock.now();
    return [...this.#byFingerprint]
      .filter(([, known]) => known.backends.size >= backends && nowMs - known.lastMs <= INTERRUPTION_MS)
      .map(([fingerprint]) => fingerprint)
      .reverse();
  }

  #dropOldest(): void {
    if (this.#byFingerprint.size <= MOST_REQUESTS) return;
    const oldest = this.#byFingerprint.keys().next();
    if (oldest.done !== true) this.#byFingerprint.delete(oldest.value);
  }
}
