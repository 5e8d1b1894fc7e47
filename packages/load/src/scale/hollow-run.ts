import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { Random } from '@canvasridge/clock';
import { configurationSchema, type Configuration } from '@canvasridge/domain';
import { SimulatedFleet, type NodeSpec } from '../simulation/fleet.js';
import { quantile } from '../callers/evaluation.js';

/**
 * Size and length of a hollow run. Hollow nodes run the production control code in virtual time, but serve no
 * callers.
 */
export interface HollowRunOptions {
  readonly nodes: number;
  readonly runners: number;
  readonly adapters: number;
  readonly seed: number;
  /** Virtual seconds without faults over which traffic and processor time are measured. */
  readonly calmSeconds: number;
}

/** Measurements of one hollow run. Bytes include both directions and headers. */
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
/** Time until the fleet has settled after its start; measurements begin then. */
const SETTLE_MS = 45_000;
const CRASHES = 3;
const CRASH_TIMEOUT_MS = 25_000;
const CHANGE_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 100;
const DATAGRAM_LOSS = 0.01;
/** Fraction of adapters that become active and idle again within an hour, as stated by the operators. */
const ADAPTER_CHURN_PER_HOUR = 0.15;
const SECONDS_PER_HOUR = 3600;
const BYTES_PER_MEGABYTE = 1_048_576;

/** Simulates hollow nodes in this process and in virtual time, and measures what their control code costs. */
export async function runHollowNodes(options: HollowRunOptions): Promise<HollowMeasurement> {
  const heapBefore = measureHeapAfterGc();
  const fleet = newHollowFleet(options);
  const removals = new FalseRemovalCounter(fleet);
  fleet.start();
  removals.start();
  await fleet.clock.runUntil(SETTLE_MS);
  const churn = startChurn(fleet, options);
  const calm = await measureCalm(fleet, options.calmSeconds);
  const heap = (measureHeapAfterGc() - heapBefore) / BYTES_PER_MEGABYTE / options.nodes;
  const falseRemovals = removals.count;
  const configurationSecondsMax = await measureConfigurationChange(fleet);
  const crashes = await measureCrashDetection(fleet, options);
  churn.abort();
  const { peakReadsPerSecond } = fleet.standin.configuration;
  for (const process of fleet.processes()) fleet.kill(process.spec.id);
  return {
    nodes: options.nodes,
    runners: options.runners,
    ...calm,
    controlHeapMegabytesMean: round(heap),
    // All hollow nodes share one heap and differ only in the engines they own, so the mean stands for the
    // worst node.
    controlHeapMegabytesWorst: round(heap),
    detectionSecondsP99: round(quantile(crashes.detectionSeconds, 0.99)),
    falseRemovals,
    configurationSecondsMax: round(configurationSecondsMax),
    configurationReadsPerSecond: peakReadsPerSecond,
    enginesMovedPerFailure: round(crashes.enginesMoved / CRASHES),
  };
}

/** Configuration with one base and without services. */
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
    network: { latencyMs: 1.5, datagramLoss: DATAGRAM_LOSS, datagramDuplication: 0 },
    weightStore: { loadsPerSecond: 10, concurrency: 10, loadMs: 500 },
    // The emulators are not measured, so they take snapshots rarely.
    engineBehaviour: { reportIntervalMs: 1000, reportLagMs: 1000 },
    timelineCapacity: 16,
  });
}

/** Counts how often a sample of nodes saw a running process as dead. */
class FalseRemovalCounter {
  readonly #fleet: SimulatedFleet;
  count = 0;

  constructor(fleet: SimulatedFleet) {
    this.#fleet = fleet;
  }

  start(): void {
    const checkMembers = (): void => {
      for (const { node } of this.#fleet.processes().slice(0, OBSERVER_COUNT)) {
        for (const other of this.#fleet.processes()) {
          const seen = node.membership.get(other.spec.id);
          if (seen?.state === 'dead') this.count += 1;
        }
      }
      this.#fleet.clock.setTimer(MEMBER_CHECK_INTERVAL_MS, checkMembers);
    };
    this.#fleet.clock.setTimer(SETTLE_MS, checkMembers);
  }
}

/** Number of nodes whose view of the members is checked. */
const OBSERVER_COUNT = 5;
const MEMBER_CHECK_INTERVAL_MS = 1000;

/**
 * Makes owners publish changed sets of loaded adapters at the rate at which adapters become active and idle.
 */
function startChurn(fleet: SimulatedFleet, options: HollowRunOptions): AbortController {
  const stop = new AbortController();
  const random = Random.derive(options.seed, 'churn');
  const changesPerSecond = (2 * ADAPTER_CHURN_PER_HOUR * options.adapters) / SECONDS_PER_HOUR;
  const change = (): void => {
    if (stop.signal.aborted) return;
    const owner = random.pick(fleet.processes());
    const engine = random.pick(owner?.node.ownership.owned() ?? []);
    if (owner !== undefined && engine !== undefined) {
      const loaded = Array.from({ length: 8 }, () => random.integer(2 ** 31 - 1));
      // Fence, running, queued, reclaimable, hashes of the loaded adapters.
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
    // Processor time is proportional to traffic: the mean is scaled by the worst node's traffic relative to
    // the mean.
    controlCpuPercentWorst: round(cpuMean * 100 * (worstBytes / (totalBytes / bytes.length))),
  };
}

/** Publishes a revision and measures the seconds until it is in force on all nodes. */
async function measureConfigurationChange(fleet: SimulatedFleet): Promise<number> {
  const index = fleet.processes()[0]?.node.follower.store.index;
  if (index === undefined) return Infinity;
  const { configuration } = index;
  const tuning = { ...configuration.tuning, stallWeight: 0.6 };
  const startedAtMs = fleet.clock.now();
  const { revision } = fleet.publish({ ...configuration, tuning });
  while (fleet.clock.now() - startedAtMs < CHANGE_TIMEOUT_MS) {
    await fleet.clock.runUntil(fleet.clock.now() + POLL_INTERVAL_MS);
    if (fleet.processes().every((process) => process.node.follower.store.revision >= revision)) break;
  }
  return (fleet.clock.now() - startedAtMs) / 1000;
}

async function measureCrashDetection(
  fleet: SimulatedFleet,
  options: HollowRunOptions,
): Promise<{ readonly detectionSeconds: number[]; readonly enginesMoved: number }> {
  const random = Random.derive(options.seed, 'crashes');
  const detectionSeconds: number[] = [];
  let enginesMoved = 0;
  for (let crash = 0; crash < CRASHES; crash += 1) {
    const crashed = random.pick(fleet.processes());
    if (crashed === undefined) break;
    const { id } = crashed.spec;
    enginesMoved += crashed.node.ownership.owned().length;
    fleet.kill(id);
    detectionSeconds.push(...(await timeUntilRemoved(fleet, id)));
  }
  return { detectionSeconds: detectionSeconds.sort((a, b) => a - b), enginesMoved };
}

/**
 * For each running node, the seconds until it considers `id` dead; CRASH_TIMEOUT_MS if it does not in time.
 */
async function timeUntilRemoved(fleet: SimulatedFleet, id: string): Promise<number[]> {
  const startedAtMs = fleet.clock.now();
  const waitingProcesses = new Set(fleet.processes());
  const seconds: number[] = [];
  while (waitingProcesses.size > 0 && fleet.clock.now() - startedAtMs < CRASH_TIMEOUT_MS) {
    await fleet.clock.runUntil(fleet.clock.now() + POLL_INTERVAL_MS);
    for (const process of waitingProcesses) {
      const state = process.node.membership.get(id)?.state;
      if (state !== undefined && state !== 'dead') continue;
      waitingProcesses.delete(process);
      seconds.push((fleet.clock.now() - startedAtMs) / 1000);
    }
  }
  seconds.push(...Array.from(waitingProcesses, () => CRASH_TIMEOUT_MS / 1000));
  return seconds;
}

/** Forces a garbage collection and returns the heap in use after it, in bytes. */
export function measureHeapAfterGc(): number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  collect();
  return process.memoryUsage().heapUsed;
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
