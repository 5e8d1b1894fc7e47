import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { Random } from '@canvasridge/clock';
import { configurationSchema, type Configuration } from '@canvasridge/domain';
import { SimulatedFleet, type NodeSpec } from '../simulation/fleet.js';
import { quantile } from '../callers/verdict.js';

/** Size and length of a hollow run: real control code, no callers. */
export interface HollowRunOptions {
  readonly nodes: number;
  readonly runners: number;
  readonly adapters: number;
  readonly seed: number;
  /** Virtual seconds of calm in which traffic and processor time are measured. */
  readonly calmSeconds: number;
}

/** What one hollow run measured. Bytes count both directions, with headers. */
export interface HollowMeasurement {
  readonly nodes: number;
  readonly runners: number;
  readonly controlBytesPerSecondMean: number;
  readonly controlBytesPerSecondWorst: number;
  readonly controlMessagesPerSecondMean: number;
  readonly controlCpuPercentMean: number;
  readonly controlCpuPercentWorst: number;
  readonly controlHeapMegabytesMean: number;
  readonly controlHeapMegabytesWorst: number;
  readonly detectionSecondsP99: number;
  readonly falseRemovals: number;
  readonly configurationSecondsMax: number;
  readonly configurationReadsPerSecond: number;
  readonly enginesMovedPerFailure: number;
}

const ZONES = 4;
const REGIONS = 2;
const SETTLE_MS = 45_000;
const CRASHES = 3;
const CRASH_WATCH_MS = 25_000;
const CHANGE_WATCH_MS = 20_000;
const POLL_MS = 100;
const LOSS = 0.01;
/** Share of adapters that wake and fall idle in an hour, from the users' letter. */
const CHURN_PER_HOUR = 0.15;
const SECONDS_PER_HOUR = 3600;
const BYTES_PER_MEGABYTE = 1_048_576;

/** Runs the control side of `nodes` nodes in virtual time in this process. */
export async function runHollow(options: HollowRunOptions): Promise<HollowMeasurement> {
  const heapBefore = collectHeap();
  const fleet = newHollowFleet(options);
  const removals = new RemovalWatch(fleet);
  fleet.start();
  removals.attach();
  await fleet.clock.runUntil(SETTLE_MS);
  const churn = startChurn(fleet, options);
  const calm = await measureCalm(fleet, options.calmSeconds);
  const heap = (collectHeap() - heapBefore) / BYTES_PER_MEGABYTE / options.nodes;
  const falseRemovals = removals.count;
  const configurationSecondsMax = await measureChange(fleet);
  const crashes = await measureCrashes(fleet, options);
  churn.abort();
  const { peakReadsPerSecond } = fleet.standin.configuration;
  for (const process of fleet.processes()) fleet.kill(process.spec.id);
  return {
    nodes: options.nodes,
    runners: options.runners,
    ...calm,
    controlHeapMegabytesMean: round(heap),
    // One heap holds all hollow nodes; they differ only in the engines they own, so the mean stands for the worst.
    controlHeapMegabytesWorst: round(heap),
    detectionSecondsP99: round(quantile(crashes.detectionSeconds, 0.99)),
    falseRemovals,
    configurationSecondsMax: round(configurationSecondsMax),
    configurationReadsPerSecond: peakReadsPerSecond,
    enginesMovedPerFailure: round(crashes.enginesMoved / CRASHES),
  };
}

export function hollowConfiguration(runners: number, adapters: number): Configuration {
  return configurationSchema.parse({
    bases: [{ name: 'base-0' }],
    adapters: Array.from({ length: adapters }, (_unused, index) => ({
      name: `adapter-${index}`,
      base: 'base-0',
      versions: ['v1'],
    })),
    engines: Array.from({ length: runners }, (_unused, index) => ({
      id: `engine-${index}`,
      url: `http://10.1.${index >> 8}.${index & 255}:9000`,
      base: 'base-0',
      zone: `zone-${index % ZONES}`,
      slots: 8,
      maxBatch: 32,
    })),
    callers: [{ name: 'c', team: 't', keySha256: ['a'.repeat(64)], requestsPerSecond: 1, concurrency: 1 }],
  });
}

function newHollowFleet(options: HollowRunOptions): SimulatedFleet {
  const nodes = Array.from({ length: options.nodes }, (_unused, index): NodeSpec => ({
    id: `node-${index}`,
    zone: `zone-${index % ZONES}`,
    region: `region-${index % REGIONS}`,
  }));
  return new SimulatedFleet({
    seed: options.seed,
    nodes,
    configuration: hollowConfiguration(options.runners, Math.min(options.adapters, 100)),
    network: { latencyMs: 1.5, datagramLoss: LOSS, datagramDuplication: 0 },
    weightStore: { loadsPerSecond: 10, concurrency: 10, loadMs: 500 },
    // The emulators are not what is measured: their own snapshots are made seldom.
    engineBehaviour: { reportIntervalMs: 1000, reportLagMs: 1000 },
    timelineCapacity: 16,
  });
}

/** Counts members that were removed although their process was running. */
class RemovalWatch {
  readonly #fleet: SimulatedFleet;
  count = 0;

  constructor(fleet: SimulatedFleet) {
    this.#fleet = fleet;
  }

  attach(): void {
    const look = (): void => {
      for (const { node } of this.#fleet.processes().slice(0, SAMPLE)) {
        for (const other of this.#fleet.processes()) {
          const seen = node.membership.get(other.spec.id);
          if (seen?.state === 'dead') this.count += 1;
        }
      }
      this.#fleet.clock.setTimer(LOOK_MS, look);
    };
    this.#fleet.clock.setTimer(SETTLE_MS, look);
  }
}

const SAMPLE = 5;
const LOOK_MS = 1000;

/** Owners publish changed sets of loaded adapters as often as adapters wake and fall idle. */
function startChurn(fleet: SimulatedFleet, options: HollowRunOptions): AbortController {
  const stop = new AbortController();
  const random = Random.derive(options.seed, 'churn');
  const changesPerSecond = (2 * CHURN_PER_HOUR * options.adapters) / SECONDS_PER_HOUR;
  const change = (): void => {
    if (stop.signal.aborted) return;
    const owner = random.pick(fleet.processes());
    const engine = random.pick(owner?.node.ownership.owned() ?? []);
    if (owner !== undefined && engine !== undefined) {
      const loaded = Array.from({ length: 8 }, () => random.integer(2 ** 31 - 1));
      const record = [engine.fence, random.integer(4) * 8, 0, 1, loaded];
      owner.node.membership.publish(`e/${engine.engine.id}`, record);
    }
    fleet.clock.setTimer(random.exponential(1000 / changesPerSecond), change);
  };
  change();
  return stop;
}

async function measureCalm(
  fleet: SimulatedFleet,
  seconds: number,
): Promise<
  Pick<
    HollowMeasurement,
    | 'controlBytesPerSecondMean'
    | 'controlBytesPerSecondWorst'
    | 'controlMessagesPerSecondMean'
    | 'controlCpuPercentMean'
    | 'controlCpuPercentWorst'
  >
> {
  const before = fleet.processes().map(({ meter }) => ({ bytes: meter.bytes, messages: meter.messages }));
  const cpuBefore = process.cpuUsage();
  await fleet.clock.runUntil(fleet.clock.now() + seconds * 1000);
  const cpu = process.cpuUsage(cpuBefore);
  const bytes = fleet
    .processes()
    .map(({ meter }, index) => (meter.bytes - (before[index]?.bytes ?? 0)) / seconds);
  const messages = fleet
    .processes()
    .map(({ meter }, index) => meter.messages - (before[index]?.messages ?? 0));
  const totalBytes = bytes.reduce((sum, value) => sum + value, 0);
  const worstBytes = Math.max(...bytes);
  const cpuMean = (cpu.user + cpu.system) / 1e6 / seconds / bytes.length;
  return {
    controlBytesPerSecondMean: round(totalBytes / bytes.length),
    controlBytesPerSecondWorst: round(worstBytes),
    controlMessagesPerSecondMean: round(
      messages.reduce((sum, value) => sum + value, 0) / seconds / bytes.length,
    ),
    controlCpuPercentMean: round(cpuMean * 100),
    // Processor time follows messages: the worst node's is scaled by its share of the traffic.
    controlCpuPercentWorst: round(cpuMean * 100 * (worstBytes / (totalBytes / bytes.length))),
  };
}

/** Seconds until the last node has a newly published revision in force. */
async function measureChange(fleet: SimulatedFleet): Promise<number> {
  const index = fleet.processes()[0]?.node.follower.store.index;
  if (index === undefined) return Infinity;
  const { configuration } = index;
  const tuning = { ...configuration.tuning, stallWeight: 0.6 };
  const startedAtMs = fleet.clock.now();
  const { revision } = fleet.publish({ ...configuration, tuning });
  while (fleet.clock.now() - startedAtMs < CHANGE_WATCH_MS) {
    await fleet.clock.runUntil(fleet.clock.now() + POLL_MS);
    if (fleet.processes().every((process) => process.node.follower.store.revision >= revision)) break;
  }
  return (fleet.clock.now() - startedAtMs) / 1000;
}

async function measureCrashes(
  fleet: SimulatedFleet,
  options: HollowRunOptions,
): Promise<{ readonly detectionSeconds: number[]; readonly enginesMoved: number }> {
  const random = Random.derive(options.seed, 'crashes');
  const detectionSeconds: number[] = [];
  let enginesMoved = 0;
  for (let crash = 0; crash < CRASHES; crash += 1) {
    const victim = random.pick(fleet.processes());
    if (victim === undefined) break;
    const { id } = victim.spec;
    enginesMoved += victim.node.ownership.owned().length;
    fleet.kill(id);
    detectionSeconds.push(...(await timeUntilRemoved(fleet, id)));
  }
  return { detectionSeconds: detectionSeconds.sort((a, b) => a - b), enginesMoved };
}

/** For each running node, the seconds until it no longer counts `id` as present. */
async function timeUntilRemoved(fleet: SimulatedFleet, id: string): Promise<number[]> {
  const startedAtMs = fleet.clock.now();
  const waiting = new Set(fleet.processes());
  const seconds: number[] = [];
  while (waiting.size > 0 && fleet.clock.now() - startedAtMs < CRASH_WATCH_MS) {
    await fleet.clock.runUntil(fleet.clock.now() + POLL_MS);
    for (const process of waiting) {
      const state = process.node.membership.get(id)?.state;
      if (state !== undefined && state !== 'dead') continue;
      waiting.delete(process);
      seconds.push((fleet.clock.now() - startedAtMs) / 1000);
    }
  }
  seconds.push(...Array.from(waiting, () => CRASH_WATCH_MS / 1000));
  return seconds;
}

/** Heap in use after a collection, in bytes. */
export function collectHeap(): number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  collect();
  return process.memoryUsage().heapUsed;
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
