import { spawn } from 'node:child_process';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { ExitCode, type CommandDefinition } from '@canvasridge/settings';
import { request } from 'undici';
import { measureDecisionCost } from '../bench/decision-cost.js';
import { measure, type Measurement } from '../bench/measure.js';
import { Deployment, keyDigest, type DeploymentPlan } from '../processes/deployment.js';

const KEY = 'bench-key';
/** One engine and one load worker for each base, so that neither is the bottleneck of the measurement. */
const BASES = ['llama', 'qwen', 'gemma'] as const;
const ROUNDS = 2;
const WARM_UP_SECONDS = 1;
const LONG_STREAM_TOKENS = 200;

/** One node, and fast engines that do not check fences, so that the pass-through can use them too. */
const PLAN: DeploymentPlan = {
  nodes: [{ id: 'node-a', zone: 'zone-1' }],
  engines: BASES.map((base) => ({
    id: `engine-${base}`,
    zone: 'zone-1',
    base,
    slots: 4,
    maxBatch: 512,
    checksFence: false,
  })),
  services: [],
  adapters: BASES.map((base) => ({ name: 'adapter-0', base, versions: ['v1'] })),
  bases: BASES,
  callers: [
    {
      name: 'bench',
      team: 'bench',
      keySha256: [keyDigest(KEY)],
      requestsPerSecond: 1_000_000,
      concurrency: 100_000,
    },
  ],
  tuning: { weightStoreLoadsPerSecond: 20, weightStoreConcurrency: 4 },
  weightStore: { loadsPerSecond: 20, concurrency: 4, loadMs: 50 },
  machineListLagMs: 1000,
  lingerSeconds: 0,
  separateEngineProcesses: true,
  engineBehaviour: {
    stepBaseMs: 1,
    stepPerSequenceMs: 0,
    prefillPerTokenMs: 0,
    prefillTokensPerStep: 100_000,
    queueLimit: 4096,
  },
};

export const benchCommand: CommandDefinition = {
  name: 'bench',
  summary:
    'Measures the node against a bare pass-through of hono and undici, in one run, with the same engines.',
  options: {
    seconds: { type: 'string', help: 'length of each measurement', default: '4' },
    'minimum-ratio': { type: 'string', help: 'exit 1 when requestsRatio is below this', default: '0' },
  },
  run: async (input) => {
    const seconds = input.number('seconds', 1, 120);
    const minimum = input.number('minimum-ratio', 0, 100);
    const deployment = await Deployment.start(PLAN, print);
    const passThrough = await startPassThrough(deployment.engineUrls());
    try {
      await loadAdapters(deployment);
      const node = deployment.callerUrls()[0] ?? '';
      const result = await compare(node, passThrough.url, seconds);
      print(JSON.stringify(result));
      return result.requestsRatio >= minimum ? ExitCode.success : ExitCode.failure;
    } finally {
      passThrough.stop();
      await deployment.stop();
    }
  },
};

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function startPassThrough(engines: readonly string[]): Promise<{ url: string; stop: () => void }> {
  const script = fileURLToPath(new URL('../bench/pass-through.js', import.meta.url));
  const child = spawn(process.execPath, [script, ...engines], { stdio: ['ignore', 'pipe', 'inherit'] });
  const line = await new Promise<string>((resolve) =>
    createInterface({ input: child.stdout }).once('line', resolve),
  );
  return { url: (JSON.parse(line) as { url: string }).url, stop: () => child.kill('SIGKILL') };
}

/** Loads the adapter on all engines directly, since the pass-through loads none. */
async function loadAdapters(deployment: Deployment): Promise<void> {
  for (const url of deployment.engineUrls()) {
    const order = { fence: 0, order: { kind: 'load', adapter: 'adapter-0', version: 'v1' } };
    const response = await request(`${url}/control/orders`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(order),
    });
    await response.body.dump();
  }
  const reportWaitMs = 2500;
  await new Promise((resolve) => setTimeout(resolve, reportWaitMs));
}

/** Result of the benchmark; printed as JSON. */
interface BenchResult {
  readonly requestsRatio: number;
  readonly tokensRatio: number;
  readonly addedTtftMsP50: number;
  readonly nodeRequestsPerSecond: number;
  readonly passThroughRequestsPerSecond: number;
  readonly nodeTokensPerSecond: number;
  readonly passThroughTokensPerSecond: number;
  readonly decisionMicroseconds: number;
  readonly failed: number;
}

/** Load of one phase of the benchmark. */
interface Phase {
  readonly name: string;
  readonly concurrency: number;
  readonly tokens: number;
  readonly pauseMs: number;
  readonly workers: number;
}

const PHASES = {
  requests: { name: 'one-token streams', concurrency: 96, tokens: 1, pauseMs: 0, workers: BASES.length },
  tokens: {
    name: `${LONG_STREAM_TOKENS}-token streams`,
    concurrency: 192,
    tokens: LONG_STREAM_TOKENS,
    pauseMs: 0,
    workers: BASES.length,
  },
  latency: { name: 'low load', concurrency: 8, tokens: 1, pauseMs: 10, workers: 1 },
} as const satisfies Record<string, Phase>;

/** Measures both targets in turn, so that a temporary slowdown of the machine affects both. */
async function compare(node: string, passThrough: string, seconds: number): Promise<BenchResult> {
  const results: Record<string, { node: Measurement; passThrough: Measurement }> = {};
  for (const [key, phase] of Object.entries(PHASES)) {
    await runPhase(node, phase, WARM_UP_SECONDS);
    await runPhase(passThrough, phase, WARM_UP_SECONDS);
    const nodeRounds: Measurement[] = [];
    const passThroughRounds: Measurement[] = [];
    for (let round = 0; round < ROUNDS; round += 1) {
      passThroughRounds.push(await runPhase(passThrough, phase, seconds));
      nodeRounds.push(await runPhase(node, phase, seconds));
    }
    const pair = { node: mean(nodeRounds), passThrough: mean(passThroughRounds) };
    results[key] = pair;
    print(`${phase.name.padEnd(20)} node ${format(pair.node)}`);
    print(`${''.padEnd(20)} pass ${format(pair.passThrough)}`);
  }
  const decisionMicroseconds = measureDecisionCost();
  print(`decision at 42,000 adapters and 600 engines: ${decisionMicroseconds.toFixed(1)} µs`);
  const { requests, tokens, latency } = results as Record<keyof typeof PHASES, (typeof results)[string]>;
  return {
    requestsRatio: round(requests.node.requestsPerSecond / requests.passThrough.requestsPerSecond),
    tokensRatio: round(tokens.node.tokensPerSecond / tokens.passThrough.tokensPerSecond),
    addedTtftMsP50: round(latency.node.firstByteMsP50 - latency.passThrough.firstByteMsP50),
    nodeRequestsPerSecond: Math.round(requests.node.requestsPerSecond),
    passThroughRequestsPerSecond: Math.round(requests.passThrough.requestsPerSecond),
    nodeTokensPerSecond: Math.round(tokens.node.tokensPerSecond),
    passThroughTokensPerSecond: Math.round(tokens.passThrough.tokensPerSecond),
    decisionMicroseconds: round(decisionMicroseconds),
    failed: [requests, tokens, latency].reduce(
      (sum, pair) => sum + pair.node.failed + pair.passThrough.failed,
      0,
    ),
  };
}

function runPhase(url: string, phase: Phase, seconds: number): Promise<Measurement> {
  const { tokens, pauseMs, workers } = phase;
  const concurrency = Math.round(phase.concurrency / workers);
  const jobs = BASES.slice(0, workers).map((base, index) => ({
    url,
    headers: {
      authorization: `Bearer ${KEY}`,
      'content-type': 'application/json',
      'x-engine': String(index),
    },
    body: JSON.stringify({
      model: `${base}:adapter-0@v1`,
      prompt: 'a short prompt',
      max_tokens: tokens,
      stream: true,
    }),
    concurrency,
    durationMs: seconds * 1000,
    pauseMs,
  }));
  return measure(jobs);
}

function mean(rounds: readonly Measurement[]): Measurement {
  const average = (value: (round: Measurement) => number): number =>
    rounds.reduce((sum, round) => sum + value(round), 0) / rounds.length;
  return {
    requestsPerSecond: average((item) => item.requestsPerSecond),
    tokensPerSecond: average((item) => item.tokensPerSecond),
    failed: rounds.reduce((sum, item) => sum + item.failed, 0),
    firstByteMsP50: average((item) => item.firstByteMsP50),
    firstByteMsP95: average((item) => item.firstByteMsP95),
  };
}

function format(measurement: Measurement): string {
  const { requestsPerSecond, tokensPerSecond, firstByteMsP50, firstByteMsP95, failed } = measurement;
  const rates = `${requestsPerSecond.toFixed(0)} requests/s, ${tokensPerSecond.toFixed(0)} tokens/s`;
  return `${rates}, first byte p50 ${firstByteMsP50.toFixed(1)} p95 ${firstByteMsP95.toFixed(1)} ms, failed ${failed}`;
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
