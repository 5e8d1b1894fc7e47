import type { Clock } from '@canvasridge/clock';
import { runInBackground, type Telemetry } from '@canvasridge/telemetry';
import type { Cluster } from './cluster.js';
import { REPORT_TIMEOUT_MS } from './home-reporter.js';
import type { PeerCaller } from './peer-caller.js';
import {
  COMPLETED_METHOD,
  ENDED_WELL_METHOD,
  type CompletedRun,
  type EndedWellParams,
} from './quarantine-protocol.js';

export interface CompletedRunReporterOptions {
  readonly clock: Clock;
  readonly cluster: Pick<Cluster, 'peerAddress' | 'processOf'>;
  readonly network: PeerCaller;
  readonly telemetry: Pick<Telemetry, 'event'>;
  /** Ids of the home nodes except this one. */
  readonly otherHomes: () => readonly string[];
  /** The time at which this node learned that the request is a suspect; undefined if it is none. */
  readonly suspectSinceMs: (fingerprint: string) => number | undefined;
}

/**
 * A home is told of the completed runs of one request at most this often: a request that is sent all the time
 * completes many times before the homes have answered.
 */
const REPORT_INTERVAL_MS = 200;
/** A home that did not answer, or does not know the method, is told of a completed run again after this time. */
const UNANSWERED_PAUSE_MS = 5000;
/** Number of requests whose reported runs are remembered: more than homes quarantine or suspect at a time. */
const MAX_TOLD_REQUESTS = 128;

/** Tells the home nodes of completed runs of suspected and quarantined requests. */
export class CompletedRunReporter {
  readonly #options: CompletedRunReporterOptions;
  /** By fingerprint and home process: when the last completed run that it was told of was sent. */
  readonly #toldMs = new Map<string, Map<string, number>>();

  constructor(options: CompletedRunReporterOptions) {
    this.#options = options;
  }

  /** Tells each home process of a run that was sent at `sentMs`, unless it was told of that or a recent one. */
  report(fingerprint: string, sentMs: number): void {
    const { otherHomes, telemetry } = this.#options;
    for (const id of otherHomes())
      runInBackground(telemetry, 'completed-run-report', () => this.#reportTo(id, fingerprint, sentMs));
  }

  async #reportTo(id: string, fingerprint: string, sentMs: number): Promise<void> {
    const { clock, cluster, network } = this.#options;
    const address = cluster.peerAddress(id);
    const home = cluster.processOf(id)?.token;
    if (address === undefined || home === undefined) return;
    const toldMs = this.#toldOf(fingerprint);
    if (sentMs < (toldMs.get(home) ?? -Infinity) + REPORT_INTERVAL_MS) return;
    toldMs.set(home, sentMs);
    const run = { fingerprint, sentAgoMs: clock.now() - sentMs };
    let isAnswered = false;
    try {
      isAnswered = await this.#isAnswered(network.to(address), run, sentMs);
    } finally {
      if (!isAnswered) clock.setTimer(UNANSWERED_PAUSE_MS, () => toldMs.delete(home));
    }
  }

  async #isAnswered(peer: ReturnType<PeerCaller['to']>, run: CompletedRun, sentMs: number): Promise<boolean> {
    if ((await peer.call(COMPLETED_METHOD, run, REPORT_TIMEOUT_MS)) !== undefined) return true;
    // A home of a build without that method forgets all interruptions, so it may only learn of late runs.
    const { fingerprint } = run;
    if (sentMs < (this.#options.suspectSinceMs(fingerprint) ?? Infinity)) return false;
    const params: EndedWellParams = { fingerprint };
    return (await peer.call(ENDED_WELL_METHOD, params, REPORT_TIMEOUT_MS)) !== undefined;
  }

  #toldOf(fingerprint: string): Map<string, number> {
    const known = this.#toldMs.get(fingerprint);
    if (known !== undefined) return known;
    const oldest = this.#toldMs.keys().next();
    if (this.#toldMs.size >= MAX_TOLD_REQUESTS && oldest.done !== true) this.#toldMs.delete(oldest.value);
    const toldMs = new Map<string, number>();
    this.#toldMs.set(fingerprint, toldMs);
    return toldMs;
  }
}
