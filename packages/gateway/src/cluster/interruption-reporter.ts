import { INTERRUPTION_WINDOW_MS, type CompletedRuns } from '@canvasridge/admission';
import type { Clock } from '@canvasridge/clock';
import type { Cluster } from './cluster.js';
import type { PeerCaller } from './peer-caller.js';
import { INTERRUPTED_METHOD, type InterruptedParams, type InterruptedReply } from './quarantine-protocol.js';

/** An interruption that this node observed or, as a home, was told of. */
export interface KnownInterruption {
  readonly fingerprint: string;
  readonly backend: string;
  /** When the interrupted run was sent, and when this node learnt of its interruption, in milliseconds. */
  readonly sentMs: number;
  readonly atMs: number;
}

interface ReportedInterruption extends KnownInterruption {
  /** Whether this node observed the interruption itself. */
  readonly isOwn: boolean;
  /** The processes of home nodes that have received it. */
  readonly knownTo: Set<string>;
}

export interface InterruptionReporterOptions {
  readonly clock: Clock;
  readonly cluster: Pick<Cluster, 'peerAddress' | 'processOf'>;
  readonly network: PeerCaller;
  readonly completedRuns: CompletedRuns;
  /** Ids of the home nodes except this one. */
  readonly otherHomes: () => readonly string[];
  /** Called with what a home answers: those of the reported requests that are quarantined. */
  readonly onQuarantined: (quarantined: readonly string[]) => void;
}

/** All interruptions by the crash of an engine are reported in one message. */
const BATCH_DELAY_MS = 5;
/**
 * A reachable home answers in a few milliseconds; one that does not is sent the report again a second later.
 */
export const REPORT_TIMEOUT_MS = 500;
/**
 * Number of interruptions observed by this node that it keeps and reports to each node that becomes a home:
 * what ran on two engines that crashed. They take about 12 KB, once, when a home changes.
 */
const MAX_LOCAL_INTERRUPTIONS = 192;

/**
 * Reports the interruptions that this node observes to the home nodes, and again to each new one. A home also reports to
 * each new home what others reported to it, as the nodes that observed it may have ended.
 */
export class InterruptionReporter {
  readonly #options: InterruptionReporterOptions;
  /** Oldest first. */
  #interruptions: ReportedInterruption[] = [];
  /** Interruptions that other nodes reported to this one as a home, oldest first. */
  #learnt: ReportedInterruption[] = [];
  /** Resolves when a home has answered the current batch. */
  #reporting: Promise<void> | undefined;

  constructor(options: InterruptionReporterOptions) {
    this.#options = options;
  }

  /** Interruptions of this node that count, oldest first. */
  get interruptions(): readonly KnownInterruption[] {
    return this.#interruptions;
  }

  /** Resolves when a home has answered the report, or when none has in time. */
  report(fingerprint: string, backend: string, sentMs: number): Promise<void> {
    const atMs = this.#options.clock.now();
    this.#interruptions.push({ fingerprint, backend, sentMs, atMs, isOwn: true, knownTo: new Set() });
    this.#interruptions = this.#interruptions.slice(-MAX_LOCAL_INTERRUPTIONS);
    this.#reporting ??= this.#reportBatch();
    return this.#reporting;
  }

  /** Remembers what other nodes reported to this home; they reported it to the present homes, too. */
  learn(interruptions: readonly KnownInterruption[]): void {
    const { cluster, otherHomes } = this.#options;
    const homes = otherHomes().flatMap((id) => cluster.processOf(id)?.token ?? []);
    for (const { fingerprint, backend, sentMs, atMs } of interruptions) {
      const isKnown = this.#learnt.some(
        (known) => known.fingerprint === fingerprint && known.backend === backend,
      );
      if (isKnown) continue;
      this.#learnt.push({ fingerprint, backend, sentMs, atMs, isOwn: false, knownTo: new Set(homes) });
    }
    this.#learnt = this.#learnt.slice(-MAX_LOCAL_INTERRUPTIONS);
  }

  /** Forgets the request's interruptions of runs that were sent up to `sentMs`, which have another cause. */
  forget(fingerprint: string, sentMs: number): void {
    const isKept = (interruption: ReportedInterruption): boolean =>
      interruption.fingerprint !== fingerprint || interruption.sentMs > sentMs;
    this.#interruptions = this.#interruptions.filter(isKept);
    this.#learnt = this.#learnt.filter(isKept);
  }

  /**
   * Reports to each home what its process has not confirmed. Each promise resolves when its home has
   * answered, and rejects if it has not.
   */
  reportToHomes(): Promise<void>[] {
    const nowMs = this.#options.clock.now();
    const isRecent = ({ atMs }: ReportedInterruption): boolean => nowMs - atMs <= INTERRUPTION_WINDOW_MS;
    this.#interruptions = this.#interruptions.filter(isRecent);
    this.#learnt = this.#learnt.filter(isRecent);
    return this.#options.otherHomes().map((id) => this.#reportTo(id));
  }

  async #reportBatch(): Promise<void> {
    await this.#options.clock.sleep(BATCH_DELAY_MS);
    this.#reporting = undefined;
    await Promise.any(this.reportToHomes()).catch(() => undefined);
  }

  async #reportTo(id: string): Promise<void> {
    const { cluster, network } = this.#options;
    const address = cluster.peerAddress(id);
    const home = cluster.processOf(id)?.token;
    if (address === undefined || home === undefined) return;
    const unconfirmed = [...this.#learnt, ...this.#interruptions].filter(({ knownTo }) => !knownTo.has(home));
    if (unconfirmed.length === 0) return;
    const reply = (await network
      .to(address)
      .call(INTERRUPTED_METHOD, this.#params(unconfirmed), REPORT_TIMEOUT_MS)) as
      InterruptedReply | undefined;
    if (reply === undefined || reply === null) throw new Error(`${id} is not a quarantine home`);
    for (const { knownTo } of unconfirmed) knownTo.add(home);
    this.#options.onQuarantined(reply);
  }

  #params(interruptions: readonly ReportedInterruption[]): InterruptedParams {
    const { clock, completedRuns } = this.#options;
    const nowMs = clock.now();
    const fingerprints = [...new Set(interruptions.map(({ fingerprint }) => fingerprint))];
    const completed = fingerprints.flatMap((fingerprint) => {
      const sentMs = completedRuns.lastSentMs(fingerprint);
      return sentMs === undefined ? [] : [{ fingerprint, sentAgoMs: nowMs - sentMs }];
    });
    return {
      interruptions: interruptions.map(({ fingerprint, backend, sentMs, atMs, isOwn }) => ({
        fingerprint,
        backend,
        sentAgoMs: nowMs - sentMs,
        // Without this age a new home allows no trial: the homes before it may have allowed some.
        ...(isOwn ? { agoMs: nowMs - atMs } : {}),
      })),
      ...(completed.length === 0 ? {} : { completed }),
    };
  }
}
