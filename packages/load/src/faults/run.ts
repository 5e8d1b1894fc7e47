import { Random } from '@canvasridge/clock';
import type { Configuration } from '@canvasridge/domain';
import type { TimelineDump } from '@canvasridge/telemetry';
import type { Call, CallResult } from '../callers/call.js';
import { Caller } from '../callers/caller.js';
import { Zipf } from '../callers/zipf.js';
import { servicePaths, type DeploymentModel } from '../deployments/deployments.js';
import { SimulatedFleet } from '../simulation/fleet.js';
import { SimulatedCallerTransport } from '../simulation/simulated-caller.js';
import type { DisabledSafeguard } from './disabled-safeguards.js';
import { RevisionMonitor, checkPromises, type PromiseResults } from './checker.js';
import { FaultInjector } from './injector.js';
import { RUN_END_MS, TRAFFIC_UNTIL_MS, drawSchedule, type Fault } from './schedule.js';

export interface FaultRunOptions {
  readonly model: DeploymentModel;
  readonly seed: number;
  readonly disabledSafeguard?: DisabledSafeguard | undefined;
  readonly requestsPerSecond: number;
}

/** Result of one run. */
export interface FaultRunResult {
  readonly seed: number;
  readonly requests: number;
  readonly completed: number;
  readonly refused: number;
  readonly unknown: number;
  readonly faults: readonly Fault[];
  readonly promises: PromiseResults;
  /** Timelines of all processes; empty unless a promise was violated. */
  readonly timelines: readonly TimelineDump[];
}

const TRAFFIC_FROM_MS = 6000;
const OBSERVATION_INTERVAL_MS = 250;
/** Pause of a node while a safeguard is disabled: longer than any lease, and over before traffic ends. */
const LONG_PAUSE = { atMs: 12_000, lastsMs: 16_000 } as const;
/** Fraction of generations that are long enough to outlast a change of the engine's owner. */
const LONG_GENERATION_FRACTION = 0.15;
/** Maximum relative difference of a node's clock rate from virtual time. */
const MAX_CLOCK_DRIFT = 0.01;

/** Runs a deployment under traffic and the faults of one seed, and checks the promises at the end. */
export async function runFaults(options: FaultRunOptions): Promise<FaultRunResult> {
  const { model, seed, disabledSafeguard } = options;
  const fleet = new SimulatedFleet({
    seed,
    nodes: model.nodes,
    configuration: model.configuration,
    weightStore: model.weightStore,
    network: { latencyMs: 1.5, datagramLoss: 0.01, datagramDuplication: 0.01 },
    maxClockDrift: MAX_CLOCK_DRIFT,
    ...(disabledSafeguard === undefined ? {} : { overrides: disabledSafeguard.overrides }),
  });
  fleet.start();
  const random = Random.derive(seed, 'schedule');
  const faults = addSafeguardFaults(drawSchedule(random, model), disabledSafeguard, random, model);
  const injector = new FaultInjector(
    fleet,
    model,
    Random.derive(seed, 'injector'),
    disabledSafeguard?.lingerMs,
  );
  injector.schedule(faults);
  const revisions = new RevisionMonitor(fleet);
  const observe = (): void => {
    revisions.observe();
    fleet.clock.setTimer(OBSERVATION_INTERVAL_MS, observe);
  };
  observe();
  const results: CallResult[] = [];
  scheduleTraffic(fleet, options, injector, results);
  await fleet.clock.runUntil(RUN_END_MS);
  const promises = checkPromises(fleet, results, injector.log, revisions);
  const count = (outcome: CallResult['outcome']): number =>
    results.filter((result) => result.outcome === outcome).length;
  const violated = Object.values(promises).some((promise) => promise.violations > 0);
  const timelines = violated ? fleet.telemetries().map((telemetry) => telemetry.ring.dump()) : [];
  for (const process of fleet.processes()) fleet.kill(process.spec.id);
  return {
    seed,
    requests: results.length,
    completed: count('completed'),
    refused: count('refused'),
    unknown: count('unknown'),
    faults,
    promises,
    timelines,
  };
}

/**
 * Adds the faults of the disabled safeguard. Its absence shows only where it is needed, so the faults are
 * drawn from further schedules, and each `pause-node` gets the time of LONG_PAUSE.
 */
function addSafeguardFaults(
  faults: readonly Fault[],
  disabledSafeguard: DisabledSafeguard | undefined,
  random: Random,
  model: DeploymentModel,
): readonly Fault[] {
  if (disabledSafeguard === undefined) return faults;
  const remainingKinds = [...disabledSafeguard.faults];
  const added: Fault[] = [];
  for (let attempt = 0; attempt < 400 && remainingKinds.length > 0; attempt += 1) {
    for (const fault of drawSchedule(random, model)) {
      const position = remainingKinds.indexOf(fault.kind);
      if (position === -1) continue;
      remainingKinds.splice(position, 1);
      added.push(
        fault.kind === 'pause-node'
          ? { ...fault, atMs: LONG_PAUSE.atMs, lastsMs: LONG_PAUSE.lastsMs }
          : fault,
      );
    }
  }
  return [...faults, ...added];
}

function scheduleTraffic(
  fleet: SimulatedFleet,
  options: FaultRunOptions,
  injector: FaultInjector,
  results: CallResult[],
): void {
  const { model, seed } = options;
  const requestsPerSecond = options.disabledSafeguard?.requestsPerSecond ?? options.requestsPerSecond;
  const random = Random.derive(seed, 'traffic');
  const callers = model.callers.map(({ name, key, zone }) => {
    const host = fleet.network.createHost(`caller-${name}`);
    return new Caller(new SimulatedCallerTransport(fleet, host, key, zone));
  });
  const popularity = new Zipf(model.configuration.adapters.length, model.popularityExponent);
  const currentConfiguration = (): Configuration => {
    const index = random.pick(fleet.processes())?.node.follower.store.index;
    return index?.configuration ?? model.configuration;
  };
  let number = 0;
  const scheduleNext = (): void => {
    if (fleet.clock.now() >= TRAFFIC_UNTIL_MS) return;
    const call = createCall(
      number,
      random,
      popularity,
      model,
      currentConfiguration(),
      injector.log.popularityShift,
    );
    number += 1;
    const caller = random.pick(callers);
    void caller?.run(call).then((result) => results.push(result));
    fleet.clock.setTimer(random.exponential(1000 / requestsPerSecond), scheduleNext);
  };
  fleet.clock.setTimer(TRAFFIC_FROM_MS, scheduleNext);
}

const CALL_KINDS = [
  'stream',
  'stream',
  'stream',
  'whole',
  'service',
  'service-once',
  'generation-once',
  'generation-once',
] as const;

function createCall(
  number: number,
  random: Random,
  popularity: Zipf,
  model: DeploymentModel,
  configuration: Configuration,
  popularityShift: number,
): Call {
  const id = `call-${number}`;
  const kind = random.pick(CALL_KINDS) ?? 'stream';
  const prompt = `request ${number} of this run`;
  const paths = servicePaths(model);
  if (kind === 'service') return { id, kind, target: paths.repeatable, prompt, maxTokens: 0 };
  if (kind === 'service-once') return { id, kind, target: paths.once, prompt, maxTokens: 0 };
  const { adapters } = configuration;
  const adapter = adapters[(popularity.sample(random) + popularityShift) % adapters.length];
  const target = `${adapter?.base ?? ''}:${adapter?.name ?? ''}@${random.pick(adapter?.versions ?? []) ?? ''}`;
  return { id, kind, target, prompt, maxTokens: drawMaxTokens(random) };
}

function drawMaxTokens(random: Random): number {
  return random.next() < LONG_GENERATION_FRACTION ? 150 + random.integer(250) : 4 + random.integer(40);
}
