import { Worker } from 'node:worker_threads';
import { emptyResults, PROMISES, type PromiseResults } from './checker.js';
import type { FaultRunResult } from './run.js';
import type { FaultJob } from './worker.js';

/** Options of a campaign: many seeded runs on several threads. */
export interface CampaignOptions extends FaultJob {
  readonly threads: number;
  /** Ends the campaign after the first run for which it returns true. */
  readonly stopWhen?: (result: FaultRunResult) => boolean;
  readonly onResult?: (result: FaultRunResult) => void;
}

/** Sums over all runs of a campaign. */
export interface CampaignResult {
  readonly runs: number;
  readonly requests: number;
  readonly completed: number;
  readonly refused: number;
  readonly unknown: number;
  readonly promises: PromiseResults;
  /** Number of injected faults of each kind. */
  readonly faults: Readonly<Record<string, number>>;
  /** Seeds of the runs with a violation, in ascending order. */
  readonly violatingSeeds: readonly number[];
}

/** Runs all seeds and merges their results. */
export async function runCampaign(options: CampaignOptions): Promise<CampaignResult> {
  const results: FaultRunResult[] = [];
  const stop = new AbortController();
  const seedsByThread = Array.from({ length: options.threads }, (_unused, thread) =>
    options.seeds.filter((_seed, index) => index % options.threads === thread),
  );
  await Promise.all(
    seedsByThread
      .filter((seeds) => seeds.length > 0)
      .map((seeds) =>
        runSeedsInWorker({ ...toJob(options), seeds }, stop.signal, (result) => {
          results.push(result);
          options.onResult?.(result);
          if (options.stopWhen?.(result) === true) stop.abort();
        }),
      ),
  );
  return mergeResults(results);
}

function toJob(options: CampaignOptions): FaultJob {
  const { deployment, adapters, seeds, disabledSafeguard, requestsPerSecond } = options;
  return { deployment, adapters, seeds, disabledSafeguard, requestsPerSecond };
}

function runSeedsInWorker(
  job: FaultJob,
  stop: AbortSignal,
  onResult: (result: FaultRunResult) => void,
): Promise<void> {
  return new Promise((resolve, reject) => {
    if (stop.aborted) return resolve();
    const worker = new Worker(new URL('./worker.js', import.meta.url), { workerData: job });
    const terminate = (): void => void worker.terminate().then(() => resolve());
    stop.addEventListener('abort', terminate, { once: true });
    worker.on('message', onResult);
    worker.once('error', reject);
    worker.once('exit', () => {
      stop.removeEventListener('abort', terminate);
      resolve();
    });
  });
}

function mergeResults(results: readonly FaultRunResult[]): CampaignResult {
  const promises = emptyResults();
  const faults: Record<string, number> = {};
  for (const result of results) {
    for (const name of PROMISES) {
      promises[name].checks += result.promises[name].checks;
      promises[name].violations += result.promises[name].violations;
      for (const example of result.promises[name].examples) {
        promises[name].examples.push(`seed ${result.seed}: ${example}`);
      }
    }
    for (const fault of result.faults) faults[fault.kind] = (faults[fault.kind] ?? 0) + 1;
  }
  const sum = (value: (result: FaultRunResult) => number): number =>
    results.reduce((total, result) => total + value(result), 0);
  return {
    runs: results.length,
    requests: sum((result) => result.requests),
    completed: sum((result) => result.completed),
    refused: sum((result) => result.refused),
    unknown: sum((result) => result.unknown),
    promises,
    faults,
    violatingSeeds: results
      .filter((result) => PROMISES.some((name) => result.promises[name].violations > 0))
      .map((result) => result.seed)
      .sort((a, b) => a - b),
  };
}
