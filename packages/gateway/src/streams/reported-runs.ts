import type { Clock } from '@canvasridge/clock';
import { softwareVersionOf, type BackendDescription } from '@canvasridge/serving';
import { MAX_NAME_LENGTH } from './stream-version-protocol.js';

/** An attempt that engines have reported to run. */
interface ReportedRun {
  readonly service: string;
  /** Undefined if engines of several versions have reported it. */
  readonly version: string | undefined;
  readonly seenMs: number;
}

/** Some 150 bytes each; beyond this number the oldest are forgotten. */
const MAX_RUNS = 4096;

/**
 * The attempts that engines run, by their reports. After a loss of all nodes, engines whose clients' connections ended
 * without a word still run some of them, and so prove which software version began the streams: all runs of an attempt
 * that may overlap are at backends of one version.
 */
export class ReportedRuns {
  readonly #clock: Clock;
  /** By attempt id, the one reported longest ago first. */
  readonly #runs = new Map<string, ReportedRun>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records the attempts that an engine has reported to run. */
  record(backend: BackendDescription, attemptIds: readonly string[]): void {
    const seenMs = this.#clock.now();
    const version = softwareVersionOf(backend);
    for (const id of attemptIds) {
      if (id.length > MAX_NAME_LENGTH) continue;
      const known = this.#runs.get(id);
      this.#runs.delete(id);
      const isKnownOtherwise = known !== undefined && known.version !== version;
      this.#runs.set(id, {
        service: backend.service,
        version: isKnownOtherwise ? undefined : version,
        seenMs,
      });
    }
    for (const id of this.#runs.keys()) {
      if (this.#runs.size <= MAX_RUNS) break;
      this.#runs.delete(id);
    }
  }

  /**
   * The software version of the engines that ran an attempt; undefined if none has reported it, or engines of several.
   * @param withinMs how long ago the stream may have begun; a report of an earlier time is of another one
   */
  find(service: string, attemptId: string, withinMs: number): string | undefined {
    const run = this.#runs.get(attemptId);
    if (run?.service !== service || this.#clock.now() - run.seenMs > withinMs) return undefined;
    return run.version;
  }
}
