import type { CompletedRuns } from '@canvasridge/admission';
import type { UnreadLog } from '../peers/unread-log.js';
import { HomeReporter, type HomeReporterOptions, type Observation, type Reported } from './home-reporter.js';
import { INTERRUPTED_METHOD, quarantinedReply, type InterruptedParams } from './quarantine-protocol.js';

/** An interruption that this node observed or, as a home, was told of. */
export interface KnownInterruption extends Observation {
  readonly fingerprint: string;
  readonly backend: string;
  /** When the interrupted run was sent, in milliseconds. */
  readonly sentMs: number;
}

export interface InterruptionReporterOptions extends Pick<
  HomeReporterOptions<KnownInterruption>,
  'clock' | 'cluster' | 'network' | 'telemetry' | 'otherHomes'
> {
  readonly log: UnreadLog;
  readonly completedRuns: CompletedRuns;
  /** Called with what a home answers: those of the reported requests that are quarantined. */
  readonly onQuarantined: (quarantined: readonly string[]) => void;
}

/**
 * Number of interruptions observed by this node that it keeps and reports to each node that becomes a home:
 * what ran on two engines that crashed. They take about 12 KB, once, when a home changes.
 */
const MAX_LOCAL_INTERRUPTIONS = 192;

/** Reports interrupted runs of single requests to the homes, with the last completed runs of the same requests. */
export function interruptionReporter(options: InterruptionReporterOptions): HomeReporter<KnownInterruption> {
  return new HomeReporter({
    ...options,
    method: INTERRUPTED_METHOD,
    maxReports: MAX_LOCAL_INTERRUPTIONS,
    params: (reports) => interruptedParams(options, reports),
    isSame: (a, b) => a.fingerprint === b.fingerprint && a.backend === b.backend,
    onReply: (reply) => {
      const quarantined = options.log.read(quarantinedReply, 'peer.answer-unread', INTERRUPTED_METHOD, reply);
      if (quarantined === undefined) return false;
      options.onQuarantined(quarantined);
      return true;
    },
  });
}

function interruptedParams(
  { clock, completedRuns }: InterruptionReporterOptions,
  reports: readonly Reported<KnownInterruption>[],
): InterruptedParams {
  const nowMs = clock.now();
  const fingerprints = [...new Set(reports.map(({ observation }) => observation.fingerprint))];
  const completed = fingerprints.flatMap((fingerprint) => {
    const sentMs = completedRuns.lastSentMs(fingerprint);
    return sentMs === undefined ? [] : [{ fingerprint, sentAgoMs: nowMs - sentMs }];
  });
  return {
    interruptions: reports.map(({ isOwn, observation: { fingerprint, backend, sentMs, atMs } }) => ({
      fingerprint,
      backend,
      sentAgoMs: nowMs - sentMs,
      // Without this age a new home allows no trial: the homes before it may have allowed some.
      ...(isOwn ? { agoMs: nowMs - atMs } : {}),
    })),
    ...(completed.length === 0 ? {} : { completed }),
  };
}
