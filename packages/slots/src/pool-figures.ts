import type { EngineEntry } from './engine-entry.js';

/** Figures of a pool for logs and metrics. */
export interface PoolFigures extends EngineFigures {
  readonly waiting: number;
  readonly running: number;
  /** Present guess of how long a fetch from the weight store takes. */
  readonly coldLoadMs: number;
  /** Fetches from the weight store that may be under way at the same time. */
  readonly fetchWindow: number;
  /** Time that reading 1,000 tokens of a prompt is thought to take, for all engines together. */
  readonly readMsPer1000: number;
  /** Mean time between two slots that become idle. */
  readonly gapMs: number;
}

/** The part of a pool's figures that is about its engines. */
export interface EngineFigures {
  readonly engines: number;
  readonly held: number;
  /** Engines that load or unload a model, by their last report. */
  readonly busy: number;
  /** Engines that are given nothing for a moment, after a failure. */
  readonly avoided: number;
  /** Engines that name how many requests a second they take. */
  readonly rateLimited: number;
  /** Adapters with requests, without, and on their way. */
  readonly slotsInUse: number;
  readonly slotsIdle: number;
  readonly slotsLoading: number;
  /** Longest and shortest backlog of prompts of an engine. */
  readonly mostBacklogMs: number;
  readonly leastBacklogMs: number;
}

export function describeEngines(entries: readonly EngineEntry[], nowMs: number): EngineFigures {
  const slots = entries.flatMap((entry) => [...entry.slots.slots.values()]);
  const backlogs = entries.map((entry) => Math.round(entry.slots.backlog.remainingMs(nowMs)));
  return {
    engines: entries.length,
    held: entries.filter(({ lease }) => lease.held).length,
    busy: entries.filter((entry) => entry.slots.busy).length,
    avoided: entries.filter((entry) => entry.slots.avoidUntilMs > nowMs).length,
    rateLimited: entries.filter(({ rate }) => rate.rule !== undefined).length,
    slotsInUse: slots.filter((slot) => slot.users > 0).length,
    slotsIdle: slots.filter((slot) => slot.users === 0 && slot.state === 'loaded').length,
    slotsLoading: slots.filter((slot) => slot.state === 'loading').length,
    mostBacklogMs: Math.max(0, ...backlogs),
    leastBacklogMs: backlogs.length === 0 ? 0 : Math.min(...backlogs),
  };
}
