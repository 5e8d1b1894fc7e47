import { Worker } from 'node:worker_threads';
import { quantile } from '../callers/evaluation.js';
import type { LoadMeasurement, LoadJob } from './load-worker.js';

/** Request rate, token rate and first-byte latency of one target under load. */
export interface Measurement {
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  readonly failed: number;
  readonly firstByteMsP50: number;
  readonly firstByteMsP95: number;
}

/** Runs all jobs concurrently, each on its own worker thread. */
export async function measure(jobs: readonly LoadJob[]): Promise<Measurement> {
  const parts = await Promise.all(jobs.map((job) => runWorker(job)));
  const firstBytes = parts.flatMap((part) => part.firstByteMs).sort((a, b) => a - b);
  return {
    requestsPerSecond: sum(parts, (part) => part.completed / part.seconds),
    tokensPerSecond: sum(parts, (part) => part.tokens / part.seconds),
    failed: sum(parts, (part) => part.failed),
    firstByteMsP50: quantile(firstBytes, 0.5),
    firstByteMsP95: quantile(firstBytes, 0.95),
  };
}

function sum(parts: readonly LoadMeasurement[], value: (part: LoadMeasurement) => number): number {
  return parts.reduce((total, part) => total + value(part), 0);
}

function runWorker(job: LoadJob): Promise<LoadMeasurement> {
  return new Promise((resolve, reject) => {
    const worker = new Worker(new URL('./load-worker.js', import.meta.url), { workerData: job });
    worker.once('message', resolve);
    worker.once('error', reject);
  });
}
