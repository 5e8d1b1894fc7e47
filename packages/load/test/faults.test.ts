import test from 'ava';
import { buildDeployment, type DeploymentName } from '../src/deployments/deployments.js';
import { DISABLED_SAFEGUARDS } from '../src/faults/disabled-safeguards.js';
import { runCampaign } from '../src/faults/campaign.js';
import { PROMISES } from '../src/faults/checker.js';
import { runFaults, type FaultRunResult } from '../src/faults/run.js';

const RATE = 15;
const ADAPTERS = 300;

function run(deployment: DeploymentName, seed: number): Promise<FaultRunResult> {
  const model = buildDeployment(deployment, { adapters: ADAPTERS });
  return runFaults({ model, seed, requestsPerSecond: RATE });
}

function violations(result: FaultRunResult): string[] {
  return PROMISES.flatMap((name) => result.promises[name].examples.map((example) => `${name}: ${example}`));
}

/** Seeds that exposed a fault, with that fault, and some that never did (`none`). */
const regressionSeeds: readonly { deployment: DeploymentName; seed: number; pastFault: string }[] = [
  {
    deployment: 'imena',
    seed: 8,
    pastFault: 'of two racing publications, the head published second was accepted',
  },
  {
    deployment: 'imena',
    seed: 47,
    pastFault: 'a stopping node never handed over an engine that does not check fences',
  },
  {
    deployment: 'imena',
    seed: 57,
    pastFault: 'a restarted node learned of no members and kept no revision',
  },
  { deployment: 'imena', seed: 1, pastFault: 'none' },
  { deployment: 'vidiral', seed: 2, pastFault: 'none' },
  { deployment: 'vidiral', seed: 3, pastFault: 'none' },
];

for (const { deployment, seed, pastFault } of regressionSeeds) {
  test(`${deployment} keeps its promises under the faults of seed ${seed} (fault found earlier with this seed: ${pastFault})`, async (t) => {
    const result = await run(deployment, seed);
    t.deepEqual(violations(result), []);
    t.true(result.completed > result.requests / 2, `${result.completed} of ${result.requests} completed`);
  });
}

test('two runs of the same seed give the same result', async (t) => {
  const [first, second] = [await run('imena', 4), await run('imena', 4)];
  t.deepEqual({ ...first, timelines: [] }, { ...second, timelines: [] });
});

/**
 * Number of seeds within which each disabled safeguard has to cause a violation. Rare violations need a
 * change of owner and a load while a long generation runs.
 */
const MAX_SEEDS = 200;
const CAMPAIGN_TIMEOUT_MS = 400_000;
const THREADS = 4;

for (const disabledSafeguard of DISABLED_SAFEGUARDS) {
  test.serial(
    `with the safeguard "${disabledSafeguard.name}" disabled, the checker finds a violation of ${disabledSafeguard.promise}`,
    async (t) => {
      t.timeout(CAMPAIGN_TIMEOUT_MS);
      const result = await runCampaign({
        deployment: 'imena',
        adapters: ADAPTERS,
        seeds: Array.from({ length: MAX_SEEDS }, (_unused, index) => index + 1),
        disabledSafeguard: disabledSafeguard.name,
        requestsPerSecond: RATE,
        threads: THREADS,
        stopWhen: (run) => run.promises[disabledSafeguard.promise].violations > 0,
      });
      t.true(
        result.promises[disabledSafeguard.promise].violations > 0,
        `${result.runs} seeds without a violation`,
      );
    },
  );
}
