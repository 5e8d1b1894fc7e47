import { mkdir, writeFile } from 'node:fs/promises';
import { availableParallelism } from 'node:os';
import { join } from 'node:path';
import { renderTimeline } from '@canvasridge/cli';
import { ExitCode, UsageError, type CommandDefinition, type CommandInput } from '@canvasridge/settings';
import { DEPLOYMENT_NAMES, isDeploymentName } from '../deployments/deployments.js';
import { DISABLED_SAFEGUARDS } from '../faults/disabled-safeguards.js';
import { runCampaign, type CampaignResult } from '../faults/campaign.js';
import { PROMISES } from '../faults/checker.js';
import type { FaultRunResult } from '../faults/run.js';

const DEFAULT_ADAPTERS = 300;
const DEFAULT_RATE = 15;
/** Number of seeds within which a disabled safeguard has to cause a violation. */
export const SAFEGUARD_TEST_SEEDS = 200;

export const faultsCommand: CommandDefinition = {
  name: 'faults',
  summary: 'Runs a deployment in virtual time under seeded faults and checks the eight promises.',
  options: {
    deployment: { type: 'string', help: `one of ${DEPLOYMENT_NAMES.join(', ')}`, default: 'imena' },
    seeds: { type: 'string', help: 'seeds, as FROM-TO', default: '1-20' },
    seed: { type: 'string', help: 'one seed, replayed exactly' },
    break: {
      type: 'string',
      help: 'disable this safeguard; the run must find a violation',
      placeholder: 'NAME',
    },
    'list-breaks': { type: 'boolean', help: 'list the safeguards that can be disabled' },
    adapters: { type: 'string', help: 'adapters of the deployment', default: String(DEFAULT_ADAPTERS) },
    rate: { type: 'string', help: 'requests per second', default: String(DEFAULT_RATE) },
    threads: { type: 'string', help: 'threads; by default one less than there are cores' },
    report: {
      type: 'string',
      help: 'folder for timelines of violating runs',
      default: 'reports',
      placeholder: 'DIR',
    },
    json: { type: 'boolean', help: 'print only one JSON document' },
  },
  run: async (input) => {
    if (input.flag('list-breaks')) {
      for (const { name, promise, description } of DISABLED_SAFEGUARDS)
        print(`${name.padEnd(18)} ${promise.padEnd(22)} ${description}`);
      return ExitCode.success;
    }
    const disabledSafeguard = readDisabledSafeguard(input);
    const files: string[] = [];
    const result = await runCampaign({
      ...readJob(input, disabledSafeguard?.name),
      threads:
        input.text('threads') === undefined
          ? Math.max(1, availableParallelism() - 1)
          : input.number('threads', 1, 64),
      stopWhen: (run) =>
        disabledSafeguard !== undefined && run.promises[disabledSafeguard.promise].violations > 0,
      onResult: (run) => {
        if (run.timelines.length > 0) files.push(timelineFile(input, run));
        void writeTimeline(input, run);
      },
    });
    print(input.flag('json') ? JSON.stringify({ ...result, timelineFiles: files }) : format(result, files));
    return result.violatingSeeds.length === 0 ? ExitCode.success : ExitCode.failure;
  },
};

function readDisabledSafeguard(input: CommandInput): (typeof DISABLED_SAFEGUARDS)[number] | undefined {
  const name = input.text('break');
  if (name === undefined) return undefined;
  const found = DISABLED_SAFEGUARDS.find((candidate) => candidate.name === name);
  if (found !== undefined) return found;
  throw new UsageError(
    `--break: found "${name}", expected one of ${DISABLED_SAFEGUARDS.map((entry) => entry.name).join(', ')}`,
  );
}

function readJob(
  input: CommandInput,
  disabledSafeguard: string | undefined,
): Omit<Parameters<typeof runCampaign>[0], 'threads'> {
  const deployment = input.text('deployment') ?? '';
  if (!isDeploymentName(deployment)) {
    throw new UsageError(
      `--deployment: found "${deployment}", expected one of ${DEPLOYMENT_NAMES.join(', ')}`,
    );
  }
  return {
    deployment,
    adapters: input.number('adapters', 10, 100_000),
    seeds: readSeeds(input),
    disabledSafeguard,
    requestsPerSecond: input.number('rate', 1, 1000),
  };
}

function readSeeds(input: CommandInput): number[] {
  if (input.text('seed') !== undefined) return [input.number('seed', 0, 2 ** 31)];
  const text = input.text('seeds') ?? '';
  const match = /^(\d{1,9})-(\d{1,9})$/.exec(text);
  const from = Number(match?.[1]);
  const to = Number(match?.[2]);
  if (match === null || to < from)
    throw new UsageError(`--seeds: found "${text}", expected FROM-TO, such as 1-500`);
  return Array.from({ length: to - from + 1 }, (_unused, index) => from + index);
}

function timelineFile(input: CommandInput, run: FaultRunResult): string {
  return join(input.text('report') ?? '.', `faults-${input.text('deployment') ?? ''}-seed-${run.seed}.html`);
}

async function writeTimeline(input: CommandInput, run: FaultRunResult): Promise<void> {
  if (run.timelines.length === 0) return;
  await mkdir(input.text('report') ?? '.', { recursive: true });
  await writeFile(timelineFile(input, run), renderTimeline(run.timelines));
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function format(result: CampaignResult, files: readonly string[]): string {
  const lines = [
    `${result.runs} runs, ${result.requests} requests: ${result.completed} completed, ` +
      `${result.refused} refused, ${result.unknown} unknown`,
    '',
    `${'promise'.padEnd(24)}${'checks'.padStart(10)}${'violations'.padStart(12)}`,
  ];
  for (const name of PROMISES) {
    const { checks, violations, examples } = result.promises[name];
    lines.push(`${name.padEnd(24)}${String(checks).padStart(10)}${String(violations).padStart(12)}`);
    for (const example of examples.slice(0, 3)) lines.push(`    ${example}`);
  }
  lines.push('', 'faults injected:');
  for (const [kind, count] of Object.entries(result.faults).sort())
    lines.push(`  ${kind.padEnd(22)}${count}`);
  for (const file of files) lines.push(`timeline of a violating run: ${file}`);
  return lines.join('\n');
}
