import { Worker } from 'node:worker_threads';
import { emptyResults, PROMISES, type PromiseResults } from './checker.js';
import type { FaultRunResult } from './run.js';
import type { FaultOrder } from './worker.js';

/** Many seeded runs, spread over threads. */
export interface CampaignOptions extends FaultOrder {
  readonly threads: number;
  /** Stops the campaign early, after the first run for which it answers true. */
  readonly until?: (result: FaultRunResult) => boolean;
  readonly onResult?: (result: FaultRunResult) => void;
}

export interface CampaignResult {
  readonly runs: number;
  readonly requests: number;
  readonly completed: number;
  readonly refused: number;
  readonly unknown: number;
  readonly promises: PromiseResults;
  readonly faults: Readonly<Record<string, number>>;
  /** Seeds of runs with a violation, in order. */
  readonly violatingSeeds: readonly number[];
}

/** Runs all seeds and adds the results up. */
export async function runCampaign(options: CampaignOptions): Promise<CampaignResult> {
  const results: FaultRunResult[] = [];
  const stop = new AbortController();
  const shares = Array.from({ length: options.threads }, (_unused, thread) =>
    options.seeds.filter((_seed, index) => index % options.threads === thread),
  );
  await Promise.all(
    shares
      .filter((seeds) => seeds.length > 0)
      .map((seeds) =>
        runShare({ ...toOrder(options), seeds }, stop.signal, (result) => {
          results.push(result);
          options.onResult?.(result);
          if (options.until?.(result) === true) stop.abort();
        }),
      ),
  );
  return addUp(results);
}

function toOrder(options: CampaignOptions): FaultOrder {
  const { deployment, adapters, seeds, broken, requestsPerSecond } = options;
  return { deployment, adapters, seeds, broken, requestsPerSecond };
}

function runShare(
  order: FaultOrder,
  stop: AbortSignal,
  onResult: (result: FaultRunResult) => void,
): Promise<void> {
  return new Promise((resolve, reject) => {
    if (stop.aborted) return resolve();
    const worker = new Worker(new URL('./worker.js', import.meta.url), { workerData: order });
    const end = (): void => void worker.terminate().then(() => resolve());
    stop.addEventListener('abort', end, { once: true });
    worker.on('message', onResult);
    worker.once('error', reject);
    worker.once('exit', () => {
      stop.removeEventListener('abort', end);
      resolve();
    });
  });
}

function addUp(results: readonly FaultRunResult[]): CampaignResult {
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
