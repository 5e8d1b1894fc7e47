import { parentPort, workerData } from 'node:worker_threads';
import { buildDeployment, type DeploymentName } from '../deployments/deployments.js';
import { DISABLED_SAFEGUARDS } from './disabled-safeguards.js';
import { runFaults } from './run.js';

/** Work of one fault worker thread, which runs the seeds in turn and posts each result. */
export interface FaultJob {
  readonly deployment: DeploymentName;
  readonly adapters: number;
  readonly seeds: readonly number[];
  /** Name of the safeguard to disable. */
  readonly disabledSafeguard: string | undefined;
  readonly requestsPerSecond: number;
}

const job = workerData as FaultJob;
const model = buildDeployment(job.deployment, { adapters: job.adapters });
const disabledSafeguard = DISABLED_SAFEGUARDS.find((candidate) => candidate.name === job.disabledSafeguard);
for (const seed of job.seeds) {
  parentPort?.postMessage(
    await runFaults({ model, seed, disabledSafeguard, requestsPerSecond: job.requestsPerSecond }),
  );
}
