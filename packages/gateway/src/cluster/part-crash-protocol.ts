/**
 * Messages between nodes about parts of prompts during which backends crashed. A node of an earlier build answers them
 * with an error. Ages are transmitted and no time stamps, as the clocks of the nodes have different zero points.
 */
import type { RunsKnown } from '@canvasridge/admission';
import * as z from 'zod';
import { listOf } from '../peers/list-of.js';

/** Reports to a home node the parts of runs that crashes interrupted, and the runs of these parts that went well. */
export const PART_CRASHES_METHOD = 'quarantine.part-crashes';
/** Asks a node which runs of these parts went well. */
export const PART_RUNS_METHOD = 'quarantine.part-runs';

const MAX_NAME_LENGTH = 256;
const MAX_CRASHES = 2048;
const MAX_PARTS = 4096;
const MAX_SERVICES = 256;
const MAX_SAMPLES = 512;

const name = z.string().max(MAX_NAME_LENGTH);
const age = z.number().min(0);

const runs = z.object({
  /** [part, time since the last run that went well began its response]. */
  parts: listOf(z.tuple([name, age]), MAX_PARTS),
  /** [service, times since runs that went well began their responses]. */
  services: listOf(z.tuple([name, listOf(age, MAX_SAMPLES)]), MAX_SERVICES),
});

const partCrashes = z.object({
  /** [part, backend, service, time since the crash]. */
  crashes: listOf(z.tuple([name, name, name, age]), MAX_CRASHES),
  runs,
  /** Parts that the sender, a home, has quarantined just now. */
  quarantined: listOf(name, MAX_PARTS).optional(),
});

const partRuns = z.object({ parts: listOf(name, MAX_PARTS) });

/** All ages are in milliseconds. */
export type PartCrashesParams = z.infer<typeof partCrashes>;
export type PartRunsParams = z.infer<typeof partRuns>;
export type RunsMessage = z.infer<typeof runs>;

/** Undefined for params of another form. */
export function readPartCrashes(params: unknown): PartCrashesParams | undefined {
  return partCrashes.safeParse(params).data;
}

/** Undefined for params of another form. */
export function readPartRuns(params: unknown): PartRunsParams | undefined {
  return partRuns.safeParse(params).data;
}

/** What a node answers to {@link PART_RUNS_METHOD}; undefined for an answer of another form. */
export function readRuns(answer: unknown, nowMs: number): RunsKnown | undefined {
  const message = runs.safeParse(answer).data;
  return message === undefined ? undefined : runsOf(message, nowMs);
}

/** The times of a message that has just arrived, on this node's clock. */
export function runsOf({ parts, services }: RunsMessage, nowMs: number): RunsKnown {
  return {
    parts: new Map(parts.map(([part, agoMs]) => [part, nowMs - agoMs])),
    services: new Map(services.map(([service, agesMs]) => [service, agesMs.map((agoMs) => nowMs - agoMs)])),
  };
}

export function runsMessage({ parts, services }: RunsKnown, nowMs: number): RunsMessage {
  const ageOf = (atMs: number): number => Math.max(0, Math.round(nowMs - atMs));
  return {
    parts: [...parts].map(([part, begunMs]) => [part, ageOf(begunMs)]),
    services: [...services].map(([service, runsMs]) => [service, runsMs.map(ageOf)]),
  };
}
