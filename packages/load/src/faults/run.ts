import { Random } from '@canvasridge/clock';
import type { Configuration } from '@canvasridge/domain';
import type { TimelineDump } from '@canvasridge/telemetry';
import type { Call, CallResult } from '../callers/call.js';
import { Caller } from '../callers/caller.js';
import { Zipf } from '../callers/zipf.js';
import { servicePaths, type DeploymentModel } from '../deployments/deployments.js';
import { SimulatedFleet } from '../simulation/fleet.js';
import { SimulatedCallerTransport } from '../simulation/simulated-caller.js';
import type { Break } from './breaks.js';
import { RevisionWatch, checkPromises, type PromiseResults } from './checker.js';
import { FaultInjector } from './injector.js';
import { END_MS, TRAFFIC_UNTIL_MS, drawSchedule, type Fault } from './schedule.js';

export interface FaultRunOptions {
  readonly model: DeploymentModel;
  readonly seed: number;
  readonly broken?: Break | undefined;
  readonly requestsPerSecond: number;
}

export interface FaultRunResult {
  readonly seed: number;
  readonly requests: number;
  readonly completed: number;
  readonly refused: number;
  readonly unknown: number;
  readonly faults: readonly Fault[];
  readonly promises: PromiseResults;
  readonly timelines: readonly TimelineDump[];
}

const TRAFFIC_FROM_MS = 6000;
const OBSERVE_MS = 250;
/** Longer than any lease, and over while traffic still runs. */
const LONG_PAUSE = { atMs: 12_000, lastsMs: 16_000 } as const;
/** Share of generations that are long, so that they outlast a change of owner. */
const LONG_SHARE = 0.15;
const CLOCK_SKEW = 0.01;

/** One seeded run: a deployment under traffic and faults, judged at the end. */
export async function runFaults(options: FaultRunOptions): Promise<FaultRunResult> {
  const { model, seed, broken } = options;
  const fleet = new SimulatedFleet({
    seed,
    nodes: model.nodes,
    configuration: model.configuration,
    weightStore: model.weightStore,
    network: { latencyMs: 1.5, datagramLoss: 0.01, datagramDuplication: 0.01 },
    clockSkew: CLOCK_SKEW,
    ...(broken === undefined ? {} : { changes: broken.changes }),
  });
  fleet.start();
  const random = Random.derive(seed, 'schedule');
  const faults = addBreakFaults(drawSchedule(random, model), broken, random, model);
  const injector = new FaultInjector(fleet, model, Random.derive(seed, 'injector'), broken?.lingerMs);
  injector.schedule(faults);
  const revisions = new RevisionWatch(fleet);
  const observe = (): void => {
    revisions.observe();
    fleet.clock.setTimer(OBSERVE_MS, observe);
  };
  observe();
  const results: CallResult[] = [];
  scheduleTraffic(fleet, options, injector, results);
  await fleet.clock.runUntil(END_MS);
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

/** A broken safeguard shows only when it is needed: its faults are added early in the schedule. */
function addBreakFaults(
  faults: readonly Fault[],
  broken: Break | undefined,
  random: Random,
  model: DeploymentModel,
): readonly Fault[] {
  if (broken === undefined) return faults;
  const wanted = [...broken.faults];
  const added: Fault[] = [];
  for (let attempt = 0; attempt < 400 && wanted.length > 0; attempt += 1) {
    for (const fault of drawSchedule(random, model)) {
      const place = wanted.indexOf(fault.kind);
      if (place === -1) continue;
      wanted.splice(place, 1);
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
  const requestsPerSecond = options.broken?.requestsPerSecond ?? options.requestsPerSecond;
  const random = Random.derive(seed, 'traffic');
  const callers = model.callers.map(({ name, key, zone }) => {
    const host = fleet.network.newHost(`caller-${name}`);
    return new Caller(new SimulatedCallerTransport(fleet, host, key, zone));
  });
  const popularity = new Zipf(model.configuration.adapters.length, model.popularityExponent);
  const served = (): Configuration => {
    const index = random.pick(fleet.processes())?.node.follower.store.index;
    return index?.configuration ?? model.configuration;
  };
  let number = 0;
  const next = (): void => {
    if (fleet.clock.now() >= TRAFFIC_UNTIL_MS) return;
    const call = newCall(number, random, popularity, model, served(), injector.log.popularityShift);
    number += 1;
    const caller = random.pick(callers);
    void caller?.run(call).then((result) => results.push(result));
    fleet.clock.setTimer(random.exponential(1000 / requestsPerSecond), next);
  };
  fleet.clock.setTimer(TRAFFIC_FROM_MS, next);
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

function newCall(
  number: number,
  random: Random,
  popularity: Zipf,
  model: DeploymentModel,
  served: Configuration,
  shift: number,
): Call {
  const id = `call-${number}`;
  const kind = random.pick(CALL_KINDS) ?? 'stream';
  const prompt = `request ${number} of this run`;
  const paths = servicePaths(model);
  if (kind === 'service') return { id, kind, target: paths.repeatable, prompt, maxTokens: 0 };
  if (kind === 'service-once') return { id, kind, target: paths.once, prompt, maxTokens: 0 };
  const { adapters } = served;
  const adapter = adapters[(popularity.sample(random) + shift) % adapters.length];
  const target = `${adapter?.base ?? ''}:${adapter?.name ?? ''}@${random.pick(adapter?.versions ?? []) ?? ''}`;
  return { id, kind, target, prompt, maxTokens: drawLength(random) };
}

function drawLength(random: Random): number {
  return random.next() < LONG_SHARE ? 150 + random.integer(250) : 4 + random.integer(40);
}
