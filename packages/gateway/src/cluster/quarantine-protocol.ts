/**
 * Messages between nodes about requests during which backends crashed. A node of another build may leave out
 * optional fields or not know a method, and then answers with an error.
 */
import type { TrialVote } from '@canvasridge/admission';
import * as z from 'zod';
import { listOf } from '../peers/list-of.js';

/** Reports to a home node (one of the few that count crashes) the requests during which backends crashed. */
export const INTERRUPTED_METHOD = 'quarantine.interrupted';

/** Reports to a home node that a backend has completed a request. */
export const ENDED_WELL_METHOD = 'quarantine.ended-well';

/**
 * The same, with the age of the run. Homes that know only {@link ENDED_WELL_METHOD} forget all interruptions
 * of the request, also those of later runs.
 */
export const COMPLETED_METHOD = 'quarantine.completed';

/** Asks a home node for its vote for a trial: a single run of a quarantined request. */
export const TRIAL_METHOD = 'quarantine.trial';

/** Params of {@link TRIAL_METHOD}. */
export interface TrialParams {
  readonly fingerprint: string;
  readonly episode: number;
}

/** Null from a node that does not consider itself a home, or can't know how many trials there were. */
export type TrialReply = TrialVote | null;

/** A run of a request that a backend completed. */
export interface CompletedRun {
  readonly fingerprint: string;
  /** Time since the run was sent, in milliseconds. */
  readonly sentAgoMs: number;
}

/** Params of {@link ENDED_WELL_METHOD}, which has no age, and {@link COMPLETED_METHOD}, which has. */
export type EndedWellParams = Pick<CompletedRun, 'fingerprint'> & Partial<CompletedRun>;

/** A backend crashed while it ran a request: its connection was lost. */
export interface Interruption {
  readonly fingerprint: string;
  readonly backend: string;
  /** Time since the interrupted run was sent, in milliseconds; taken for 0 if absent. */
  readonly sentAgoMs?: number;
  /** Time since the crash, in milliseconds; unknown if absent. */
  readonly agoMs?: number;
}

/** Params of {@link INTERRUPTED_METHOD}. */
export interface InterruptedParams {
  readonly interruptions: readonly Interruption[];
  /** The last completed runs of the same requests that the sender knows of. */
  readonly completed?: readonly CompletedRun[];
}

/**
 * The quarantined ones among the reported requests; null from a node that does not consider itself a home.
 * See {@link formatQuarantined}.
 */
export type InterruptedReply = readonly string[] | null;

const MAX_NAME_LENGTH = 1024;
/** Far above what nodes keep and report. */
const MAX_REPORTS = 4096;

const name = z.string().max(MAX_NAME_LENGTH);
const completedRun = z.object({ fingerprint: name, sentAgoMs: z.number() });

/** Checks {@link InterruptedParams}. */
export const interruptedParams: z.ZodType<InterruptedParams> = z.object({
  interruptions: listOf(
    z.object({
      fingerprint: name,
      backend: name,
      sentAgoMs: z.number().exactOptional(),
      agoMs: z.number().exactOptional(),
    }),
    MAX_REPORTS,
  ),
  completed: listOf(completedRun, MAX_REPORTS).exactOptional(),
});

/** Checks what a home answers to {@link INTERRUPTED_METHOD}, other than null. */
export const quarantinedReply: z.ZodType<NonNullable<InterruptedReply>> = listOf(
  name.refine((text) => Number.isInteger(parseQuarantined(text).episode), 'expected a number as episode'),
);

/** Checks {@link EndedWellParams}. */
export const endedWellParams: z.ZodType<EndedWellParams> = z.object({
  fingerprint: name,
  sentAgoMs: z.number().exactOptional(),
});

/** Checks {@link TrialParams}. */
export const trialParams: z.ZodType<TrialParams> = z.object({ fingerprint: name, episode: z.number() });

/** Checks a {@link TrialReply}. */
export const trialReply: z.ZodType<TrialReply> = z
  .object({ isGranted: z.boolean(), homes: z.number().min(0), waitMs: z.number().optional() })
  .nullable();

const EPISODE_SEPARATOR = ':';

/** The fingerprint alone for the first quarantine of a request, with the number appended for later ones. */
export function formatQuarantined(fingerprint: string, episode: number): string {
  return episode === 1 ? fingerprint : `${fingerprint}${EPISODE_SEPARATOR}${episode}`;
}

/** Reads what {@link formatQuarantined} returned. */
export function parseQuarantined(text: string): { readonly fingerprint: string; readonly episode: number } {
  const [fingerprint = '', episode = '1'] = text.split(EPISODE_SEPARATOR);
  return { fingerprint, episode: Number(episode) };
}
