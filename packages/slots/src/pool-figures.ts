import type { EngineEntry } from './engine-entry.js';
import type { GrantFigures } from './granting-pool.js';

/** Figures of a pool of engines for logs and metrics. */
export interface PoolFigures extends EngineFigures, GrantFigures {
  /** Current estimate of how long a fetch from the weight store takes. */
  readonly coldLoadMs: number;
  /** Current estimate of how long a load from host memory takes. */
  readonly warmLoadMs: number;
  /** Estimated number of adapters that an engine keeps in host memory. */
  readonly hostAdapters: number;
  /** Maximum number of concurrent fetches from the weight store. */
  readonly fetchWindow: number;
  /** Estimated prefill time of 1,000 prompt tokens, over all engines. */
  readonly readMsPer1000: number;
  /** Mean time between two slots becoming idle. */
  readonly gapMs: number;
}

/** The figures of a pool that concern its engines. */
export interface EngineFigures {
  /** Listed engines. */
  readonly engines: number;
  /** Engines for which this node holds the order lease. */
  readonly held: number;
  /** Engines that are loading or unloading a model, as far as known. */
  readonly busy: number;
  /** Engines that are avoided for a while after a failure. */
  readonly avoided: number;
  /** Engines that announce a limit on requests per second. */
  readonly rateLimited: number;
  /** Adapters used by running requests. */
  readonly slotsInUse: number;
  /** Loaded adapters without running requests. */
  readonly slotsIdle: number;
  /** Adapters being loaded. */
  readonly slotsLoading: number;
  /** Longest prompt backlog of an engine. */
  readonly mostBacklogMs: number;
  /** Shortest prompt backlog of an engine. */
  readonly leastBacklogMs: number;
  /** Lasting pace of the slowest engine, in percent of the pool's mean time; 100 is the mean. */
  readonly slowestPacePercent: number;
  /** Lasting pace of the fastest engine, likewise. */
  readonly fastestPacePercent: number;
}

/** Computes the figures of these engines. */
export function describeEngines(entries: readonly EngineEntry[], nowMs: number): EngineFigures {
  const slots = entries.flatMap((entry) => [...entry.slots.slots.values()]);
  const backlogs = entries.map((entry) => Math.round(entry.slots.backlog.remainingMs(nowMs)));
  const paces = entries.map((entry) => Math.round(entry.slots.pace.lasting(nowMs) * 100));
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
    slowestPacePercent: paces.length === 0 ? 100 : Math.max(...paces),
    fastestPacePercent: paces.length === 0 ? 100 : Math.min(...paces),
    leastBacklogMs: backlogs.length === 0 ? 0 : Math.min(...backlogs),
  };
}
