import type { AdapterDefinition, Configuration, EngineDefinition } from '@canvasridge/domain';
import { checkIntent, type IntentProblem } from './intent-check.js';
import { GENESIS, planDigest, splitConfiguration } from './revision.js';

/** The adapters loaded on an engine, as far as the fleet knows. */
export interface LoadedAdapters {
  readonly engineId: string;
  /** Loaded adapters as `adapter@version`. */
  readonly loaded: readonly string[];
}

/** State of the fleet at the time of planning. */
export interface FleetView {
  readonly engines: readonly LoadedAdapters[];
}

/** One effect of a change of configuration. */
export interface PlanStep {
  readonly action:
    | 'load'
    | 'move'
    | 'drop'
    | 'serve'
    | 'stop-serving'
    | 'add-engine'
    | 'remove-engine'
    | 'add-caller'
    | 'remove-caller'
    | 'change-caller'
    | 'change-tuning'
    | 'change-service';
  /** The adapter version, engine, caller, service or tuning value that is affected. */
  readonly subject: string;
  readonly detail: string;
  /** Names of the callers that may be affected. */
  readonly callers: readonly string[];
}

/** The effects of replacing one revision by the next, shown to the operator for confirmation. */
export interface Plan {
  readonly fromRevision: number;
  readonly toRevision: number;
  /** Digest that the operator confirms. */
  readonly digest: string;
  readonly steps: readonly PlanStep[];
  /** Problems of the next configuration. A plan with problems cannot be confirmed. */
  readonly problems: readonly IntentProblem[];
}

/** The revision that a plan is based on. */
export interface PlanBase {
  readonly revision: number;
  readonly digest: string;
  readonly configuration: Configuration | undefined;
}

/** Plans the effects of putting `next` in force, based on one snapshot of configuration and fleet. */
export function planChange(base: PlanBase | undefined, next: Configuration, fleet: FleetView): Plan {
  const from = base ?? { ...GENESIS, configuration: undefined };
  const nextDigest = splitConfiguration(next).digest;
  const before = from.configuration;
  const steps = [
    ...planAdapters(before, next, fleet),
    ...planEngines(before, next, fleet),
    ...planCallers(before, next),
    ...planServices(before, next),
    ...planTuning(before, next),
  ];
  return {
    fromRevision: from.revision,
    toRevision: from.revision + 1,
    digest: planDigest(from.revision, from.digest, nextDigest),
    steps,
    problems: checkIntent(next),
  };
}

/** Names of the callers in `configuration` that may use a model. */
function callersOf(configuration: Configuration | undefined, model: string): string[] {
  return (configuration?.callers ?? [])
    .filter((caller) => caller.models.some((prefix) => prefix === '*' || model.startsWith(prefix)))
    .map((caller) => caller.name);
}

function modelOf(adapter: Pick<AdapterDefinition, 'base' | 'name'>): string {
  return `${adapter.base}:${adapter.name}`;
}

function planAdapters(before: Configuration | undefined, next: Configuration, fleet: FleetView): PlanStep[] {
  const old = new Map((before?.adapters ?? []).map((adapter) => [modelOf(adapter), adapter]));
  const steps: PlanStep[] = [];
  for (const adapter of next.adapters) {
    const model = modelOf(adapter);
    const previous = old.get(model);
    old.delete(model);
    steps.push(...planVersions(previous, adapter, before, next, fleet));
    steps.push(...planPins(previous, adapter, next, fleet));
  }
  for (const gone of old.values())
    steps.push(...planVersions(gone, { ...gone, versions: [] }, before, next, fleet));
  return steps;
}

function planVersions(
  previous: AdapterDefinition | undefined,
  adapter: AdapterDefinition,
  before: Configuration | undefined,
  next: Configuration,
  fleet: FleetView,
): PlanStep[] {
  const model = modelOf(adapter);
  const oldVersions = previous?.versions ?? [];
  const added = adapter.versions.filter((version) => !oldVersions.includes(version));
  const removed = oldVersions.filter((version) => !adapter.versions.includes(version));
  const serve = added.map((version): PlanStep => {
    const detail = 'can be asked for; its weights load at the first request';
    return { action: 'serve', subject: `${model}@${version}`, detail, callers: callersOf(next, model) };
  });
  const stop = removed.flatMap((version): PlanStep[] => {
    const callers = callersOf(before, model);
    const subject = `${model}@${version}`;
    const drops = enginesHolding(fleet, before, adapter, version).map((engineId): PlanStep => {
      const detail = `dropped from ${engineId} once no request runs on it`;
      return { action: 'drop', subject, detail, callers };
    });
    const detail = 'new requests for it are refused; running ones end normally';
    return [{ action: 'stop-serving', subject, detail, callers }, ...drops];
  });
  return [...serve, ...stop];
}

function enginesHolding(
  fleet: FleetView,
  configuration: Configuration | undefined,
  adapter: Pick<AdapterDefinition, 'base' | 'name'>,
  version: string,
): string[] {
  const bases = new Map((configuration?.engines ?? []).map((engine) => [engine.id, engine.base]));
  return fleet.engines
    .filter((engine) => bases.get(engine.engineId) === adapter.base)
    .filter((engine) => engine.loaded.includes(`${adapter.name}@${version}`))
    .map((engine) => engine.engineId);
}

function planPins(
  previous: AdapterDefinition | undefined,
  adapter: AdapterDefinition,
  next: Configuration,
  fleet: FleetView,
): PlanStep[] {
  const wanted = adapter.pinnedReplicas ?? 0;
  if (wanted === 0 || wanted === (previous?.pinnedReplicas ?? 0)) return [];
  const version = adapter.versions.at(-1) ?? '';
  const held = enginesHolding(fleet, next, adapter, version).length;
  const model = modelOf(adapter);
  return Array.from({ length: Math.max(0, wanted - held) }, (): PlanStep => {
    const detail = `loaded ahead of requests, to ${wanted} replicas`;
    return { action: 'load', subject: `${model}@${version}`, detail, callers: callersOf(next, model) };
  });
}

function planEngines(before: Configuration | undefined, next: Configuration, fleet: FleetView): PlanStep[] {
  const leavingBefore = new Set(before?.leavingMachines ?? []);
  const leavingNext = new Set(next.leavingMachines);
  const oldEngines = new Map((before?.engines ?? []).map((engine) => [engine.id, engine]));
  const steps: PlanStep[] = [];
  for (const engine of next.engines) {
    const previous = oldEngines.get(engine.id);
    oldEngines.delete(engine.id);
    if (previous === undefined) {
      const detail = `${engine.slots} slots, batch ${engine.maxBatch}, ${engine.url}`;
      steps.push({ action: 'add-engine', subject: engine.id, detail, callers: [] });
    }
    if (isLeaving(engine, leavingNext) && !(previous !== undefined && isLeaving(previous, leavingBefore))) {
      steps.push(...planDeparture(engine, next, fleet, 'its machine leaves'));
    }
  }
  for (const gone of oldEngines.values()) steps.push(...planDeparture(gone, next, fleet, 'it is removed'));
  return steps;
}

function isLeaving(engine: EngineDefinition, leaving: ReadonlySet<string>): boolean {
  return engine.machine !== undefined && leaving.has(engine.machine);
}

function planDeparture(
  engine: EngineDefinition,
  next: Configuration,
  fleet: FleetView,
  reason: string,
): PlanStep[] {
  const held = fleet.engines.find((candidate) => candidate.engineId === engine.id)?.loaded ?? [];
  const moves = held.map((key): PlanStep => {
    const model = `${engine.base}:${key}`;
    const detail = `from ${engine.id}, as ${reason}; it loads elsewhere on demand`;
    return { action: 'move', subject: model, detail, callers: callersOf(next, model) };
  });
  const detail = `${reason}: no new work; running requests end normally`;
  return [{ action: 'remove-engine', subject: engine.id, detail, callers: [] }, ...moves];
}

function planCallers(before: Configuration | undefined, next: Configuration): PlanStep[] {
  const old = new Map((before?.callers ?? []).map((caller) => [caller.name, caller]));
  const steps: PlanStep[] = [];
  for (const caller of next.callers) {
    const previous = old.get(caller.name);
    old.delete(caller.name);
    const limits = `${caller.requestsPerSecond}/s, ${caller.concurrency} at once, ${caller.priority}`;
    const callers = [caller.name];
    if (previous === undefined)
      steps.push({ action: 'add-caller', subject: caller.name, detail: limits, callers });
    else if (JSON.stringify(previous) !== JSON.stringify(caller)) {
      steps.push({ action: 'change-caller', subject: caller.name, detail: `now ${limits}`, callers });
    }
  }
  for (const gone of old.keys()) {
    steps.push({ action: 'remove-caller', subject: gone, detail: 'its keys are refused', callers: [gone] });
  }
  return steps;
}

function planServices(before: Configuration | undefined, next: Configuration): PlanStep[] {
  const old = new Map((before?.services ?? []).map((service) => [service.name, JSON.stringify(service)]));
  const changed = next.services.filter((service) => old.get(service.name) !== JSON.stringify(service));
  const names = new Set(next.services.map((service) => service.name));
  const gone = [...old.keys()].filter((serviceName) => !names.has(serviceName));
  return [
    ...changed.map((service): PlanStep => {
      const detail = `${service.backEnds.length} back ends`;
      return { action: 'change-service', subject: service.name, detail, callers: [] };
    }),
    ...gone.map((subject): PlanStep => ({
      action: 'change-service',
      subject,
      detail: 'removed',
      callers: [],
    })),
  ];
}

function planTuning(before: Configuration | undefined, next: Configuration): PlanStep[] {
  const old: Readonly<Record<string, number>> = before?.tuning ?? {};
  return Object.entries(next.tuning)
    .filter(([key, value]) => old[key] !== value)
    .map(([key, value]): PlanStep => {
      const detail = `${old[key] ?? 'unset'} becomes ${value}`;
      return { action: 'change-tuning', subject: key, detail, callers: [] };
    });
}
