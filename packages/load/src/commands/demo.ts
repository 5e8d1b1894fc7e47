import { writeFile } from 'node:fs/promises';
import { Random } from '@canvasridge/clock';
import { ExitCode, type CommandDefinition } from '@canvasridge/settings';
import { renderTimeline } from '@canvasridge/cli';
import type { TimelineDump } from '@canvasridge/telemetry';
import type { Call, CallResult } from '../callers/call.js';
import { Caller } from '../callers/caller.js';
import { HttpCallerTransport } from '../callers/http-caller.js';
import { VIOLATION_COUNTS, evaluateRun, type Evaluation } from '../callers/evaluation.js';
import { Zipf } from '../callers/zipf.js';
import { Deployment, keyDigest, type DeploymentPlan } from '../processes/deployment.js';

const SECONDS = 10;
const REQUESTS_PER_SECOND = 45;
const ADAPTERS_PER_BASE = 150;
const BASES = ['llama', 'qwen'] as const;
const POPULARITY_EXPONENT = 1.1;
const CALLERS = [
  { name: 'imena-agents', key: 'imena-demo-key', zone: 'zone-1' },
  { name: 'vidiral-editors', key: 'vidiral-demo-key', zone: 'zone-2' },
] as const;

/** Deployment of the demo: four nodes in two zones, and 32 adapter slots for 300 adapters. */
export const DEMO_PLAN: DeploymentPlan = {
  nodes: [
    { id: 'node-a', zone: 'zone-1' },
    { id: 'node-b', zone: 'zone-1' },
    { id: 'node-c', zone: 'zone-2' },
    { id: 'node-d', zone: 'zone-2' },
  ],
  engines: [
    { id: 'engine-1', zone: 'zone-1', base: 'llama', slots: 8, maxBatch: 16, checksFence: true },
    { id: 'engine-2', zone: 'zone-2', base: 'llama', slots: 8, maxBatch: 16, checksFence: true },
    { id: 'engine-3', zone: 'zone-1', base: 'qwen', slots: 8, maxBatch: 16, checksFence: true },
    { id: 'engine-4', zone: 'zone-2', base: 'qwen', slots: 8, maxBatch: 16, checksFence: true },
  ],
  services: [
    { name: 'payouts', zone: 'zone-1', notRepeatable: [{ method: 'POST', path: '/confirm' }] },
    { name: 'payouts', zone: 'zone-2', notRepeatable: [{ method: 'POST', path: '/confirm' }] },
  ],
  adapters: BASES.flatMap((base) =>
    Array.from({ length: ADAPTERS_PER_BASE }, (_unused, index) => ({
      name: `adapter-${index}`,
      base,
      versions: ['v1'],
    })),
  ),
  bases: BASES,
  callers: CALLERS.map(({ name, key }) => ({
    name,
    team: name.split('-')[0] ?? name,
    keySha256: [keyDigest(key)],
    priority: 'interactive' as const,
    requestsPerSecond: 200,
    concurrency: 400,
  })),
  tuning: {
    weightStoreLoadsPerSecond: 20,
    weightStoreConcurrency: 4,
    directoryTtlSeconds: 1,
    stallWeight: 0.5,
  },
  weightStore: { loadsPerSecond: 20, concurrency: 4, loadMs: 120 },
  machineListLagMs: 3000,
  lingerSeconds: 2,
};

export const demoCommand: CommandDefinition = {
  name: 'demo',
  summary:
    'Runs emulator, four nodes and callers for about ten seconds, with failures, and judges the answers.',
  options: {
    timeline: {
      type: 'string',
      help: 'write the timeline of all processes as an HTML page',
      placeholder: 'FILE',
    },
    seed: { type: 'string', help: 'seed of the callers', default: '1' },
  },
  run: async (input) => {
    const seed = input.number('seed', 0, 2 ** 31);
    const deployment = await Deployment.start(DEMO_PLAN, print);
    try {
      const results = await runLoad(deployment, seed);
      const evaluation = evaluateRun(results, await deployment.records());
      const file = input.text('timeline');
      if (file !== undefined) {
        await writeFile(file, renderTimeline((await deployment.timelines()) as TimelineDump[]));
        print(`timeline written to ${file}`);
      }
      return printReport(results, evaluation);
    } finally {
      await deployment.stop();
    }
  },
};

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Runs open-loop callers for the length of the demo and injects the failures at their times. */
async function runLoad(deployment: Deployment, seed: number): Promise<CallResult[]> {
  const transports = CALLERS.map(
    ({ key, zone }) => new HttpCallerTransport(key, zone, () => deployment.callerUrls()),
  );
  const callers = transports.map((transport) => new Caller(transport));
  const startedAtMs = performance.now();
  const failures = scheduleFailures(deployment);
  const results: CallResult[] = [];
  const running: Promise<void>[] = [];
  for (const { call, atMs, callerIndex } of generateCalls(seed)) {
    const waitMs = startedAtMs + atMs - performance.now();
    if (waitMs > 0) await new Promise((resolve) => setTimeout(resolve, waitMs));
    const caller = callers[callerIndex] as Caller;
    running.push(caller.run(call).then((result) => void results.push(result)));
    if (running.length % (REQUESTS_PER_SECOND * 2) === 0) {
      print(
        `${Math.round((performance.now() - startedAtMs) / 1000)} s: ${running.length} sent, ${results.length} ended`,
      );
    }
  }
  await failures;
  await Promise.all(running);
  print(`${Math.round((performance.now() - startedAtMs) / 1000)} s: all ${results.length} ended`);
  await Promise.all(transports.map((transport) => transport.close()));
  return results;
}

async function scheduleFailures(deployment: Deployment): Promise<void> {
  const steps: { atMs: number; text: string; act: () => Promise<void> | void }[] = [
    {
      atMs: 2500,
      text: 'engine-1 restarts empty',
      act: () => deployment.fault({ engine: { id: 'engine-1', restart: true } }),
    },
    {
      atMs: 4000,
      text: 'node-b is stopped as planned (SIGTERM)',
      act: () => deployment.nodes.get('node-b')?.signal('SIGTERM'),
    },
    {
      atMs: 6000,
      text: 'node-c is killed (SIGKILL)',
      act: () => deployment.nodes.get('node-c')?.signal('SIGKILL'),
    },
  ];
  const startedAtMs = performance.now();
  for (const step of steps) {
    await new Promise((resolve) => setTimeout(resolve, startedAtMs + step.atMs - performance.now()));
    print(`${(step.atMs / 1000).toFixed(1)} s: ${step.text}`);
    await step.act();
  }
}

interface TimedCall {
  readonly call: Call;
  readonly atMs: number;
  readonly callerIndex: number;
}

/**
 * Generates calls of mixed kinds with Poisson arrivals; the popularity of adapters follows a Zipf
 * distribution.
 */
function generateCalls(seed: number): TimedCall[] {
  const random = Random.derive(seed, 'demo-calls');
  const popularity = new Zipf(ADAPTERS_PER_BASE, POPULARITY_EXPONENT);
  const calls: TimedCall[] = [];
  let atMs = 0;
  while (atMs < SECONDS * 1000) {
    atMs += random.exponential(1000 / REQUESTS_PER_SECOND);
    const call = createCall(calls.length, random, popularity);
    calls.push({ call, atMs, callerIndex: random.integer(CALLERS.length) });
  }
  return calls;
}

function createCall(index: number, random: Random, popularity: Zipf): Call {
  const id = `call-${index}`;
  const prompt = `request ${index} for a summary of the held transfers of today`;
  const kinds = [
    'stream',
    'stream',
    'stream',
    'stream',
    'whole',
    'service',
    'service-once',
    'generation-once',
  ] as const;
  const kind = random.pick(kinds) ?? 'stream';
  if (kind === 'service') return { id, kind, target: '/services/payouts/status', prompt, maxTokens: 0 };
  if (kind === 'service-once') return { id, kind, target: '/services/payouts/confirm', prompt, maxTokens: 0 };
  const base = random.pick(BASES) ?? 'llama';
  const target = `${base}:adapter-${popularity.sample(random)}@v1`;
  return { id, kind, target, prompt, maxTokens: 8 + random.integer(32) };
}

function printReport(results: readonly CallResult[], evaluation: Evaluation): number {
  print('');
  for (const [name, value] of Object.entries(evaluation))
    print(`  ${name.padEnd(28)} ${String(value).padStart(10)}`);
  const problems = new Map<string, number>();
  for (const { outcome, problem } of results) {
    if (outcome === 'completed') continue;
    const name = `${outcome}: ${problem?.code ?? 'no answer'}`;
    problems.set(name, (problems.get(name) ?? 0) + 1);
  }
  for (const [name, count] of problems) print(`  ${name.padEnd(28)} ${String(count).padStart(10)}`);
  print(JSON.stringify(evaluation));
  const noViolations = VIOLATION_COUNTS.every((name) => evaluation[name] === 0);
  return noViolations ? ExitCode.success : ExitCode.failure;
}
