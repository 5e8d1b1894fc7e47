import { Worker } from 'node:worker_threads';
import { quantile } from '../callers/verdict.js';
import type { LoadMeasurement, LoadOrder } from './load-worker.js';

/** Rates and times of one target under one load. */
export interface Measurement {
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  readonly failed: number;
  readonly firstByteMsP50: number;
  readonly firstByteMsP95: number;
}

/** Runs each order on a worker thread of its own, all at once. */
export async function measure(orders: readonly LoadOrder[]): Promise<Measurement> {
  const parts = await Promise.all(orders.map((order) => runWorker(order)));
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

function runWorker(order: LoadOrder): Promise<LoadMeasurement> {
  return new Promise((resolve, reject) => {
    const worker = new Worker(new URL('./load-worker.js', import.meta.url), { workerData: order });
    worker.once('message', resolve);
    worker.once('error', reject);
  });
}
