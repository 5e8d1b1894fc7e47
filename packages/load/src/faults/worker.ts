import { parentPort, workerData } from 'node:worker_threads';
import { buildDeployment, type DeploymentName } from '../deployments/deployments.js';
import { BREAKS } from './breaks.js';
import { runFaults } from './run.js';

/** What a fault worker is told to do. It runs the seeds in turn and posts each result. */
export interface FaultOrder {
  readonly deployment: DeploymentName;
  readonly adapters: number;
  readonly seeds: readonly number[];
  readonly broken: string | undefined;
  readonly requestsPerSecond: number;
}

const order = workerData as FaultOrder;
const model = buildDeployment(order.deployment, { adapters: order.adapters });
const broken = BREAKS.find((candidate) => candidate.name === order.broken);
for (const seed of order.seeds) {
  parentPort?.postMessage(
    await runFaults({ model, seed, broken, requestsPerSecond: order.requestsPerSecond }),
  );
}
