import type { Random } from '@canvasridge/clock';
import type { DeploymentModel } from '../deployments/deployments.js';

/** A fault with its start and duration, in milliseconds of virtual time. */
export interface Fault {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly lastsMs: number;
  /** Ids of the affected nodes and engines; for a partition, the nodes of one side. */
  readonly targets: readonly string[];
}

/** All kinds of faults that schedules are drawn from. */
export const FAULT_KINDS = [
  'kill-node',
  'pause-node',
  'stop-node',
  'partition',
  'one-way-cut',
  'cut-engine',
  'restart-engine',
  'engine-down',
  'failing-loads',
  'late-orders',
  'lossy-network',
  'configuration-down',
  'configuration-stale',
  'publish-revision',
  'operator-race',
  'engine-leaves',
  'service-breaks',
  'popularity-jump',
] as const;

export type FaultKind = (typeof FAULT_KINDS)[number];

/** Faults start within this window. Those that can be undone are undone after their duration. */
export const FAULT_WINDOW = { fromMs: 10_000, untilMs: 30_000 } as const;
export const TRAFFIC_UNTIL_MS = 36_000;
export const RUN_END_MS = 90_000;

const MIN_FAULTS = 3;
const MAX_FAULTS = 8;
const MAX_DURATION_MS = 12_000;
const MIN_DURATION_MS = 1500;

/** Draws a random schedule. Faults may overlap, and a kind may occur more than once. */
export function drawSchedule(random: Random, model: DeploymentModel): Fault[] {
  const count = MIN_FAULTS + random.integer(MAX_FAULTS - MIN_FAULTS + 1);
  const faults: Fault[] = [];
  const usedKeys = new Set<string>();
  while (faults.length < count) {
    const kind = random.pick(FAULT_KINDS) ?? 'kill-node';
    const atMs = FAULT_WINDOW.fromMs + random.next() * (FAULT_WINDOW.untilMs - FAULT_WINDOW.fromMs);
    const lastsMs = MIN_DURATION_MS + random.next() * (MAX_DURATION_MS - MIN_DURATION_MS);
    const targets = drawTargets(kind, random, model);
    // A node or engine gets at most one fault of the exclusive kinds; all other faults may overlap.
    const exclusionKey = EXCLUSIVE_KINDS.has(kind)
      ? `process/${targets[0] ?? ''}`
      : `${kind}/${faults.length}`;
    if (usedKeys.has(exclusionKey)) continue;
    usedKeys.add(exclusionKey);
    faults.push({ kind, atMs, lastsMs, targets });
  }
  return faults.sort((a, b) => a.atMs - b.atMs);
}

/** Faults that end, suspend or withdraw a process: at most one for each node or engine. */
const EXCLUSIVE_KINDS: ReadonlySet<FaultKind> = new Set([
  'kill-node',
  'pause-node',
  'stop-node',
  'engine-leaves',
]);

function drawTargets(kind: FaultKind, random: Random, model: DeploymentModel): string[] {
  const nodes = model.nodes.map((node) => node.id);
  const engines = model.configuration.engines.map((engine) => engine.id);
  switch (kind) {
    case 'kill-node':
    case 'pause-node':
    case 'stop-node':
      return pickSome(random, nodes, 1);
    case 'partition':
      return pickSome(random, nodes, 1 + random.integer(nodes.length - 1));
    case 'one-way-cut':
      return pickSome(random, nodes, 2);
    case 'cut-engine':
      return [...pickSome(random, nodes, 1), ...pickSome(random, engines, 1)];
    case 'restart-engine':
    case 'engine-down':
    case 'failing-loads':
    case 'engine-leaves':
      return pickSome(random, engines, 1);
    case 'late-orders':
    case 'lossy-network':
    case 'configuration-down':
    case 'configuration-stale':
    case 'publish-revision':
    case 'operator-race':
    case 'service-breaks':
    case 'popularity-jump':
      return [];
  }
}

function pickSome(random: Random, names: readonly string[], count: number): string[] {
  return random.shuffle(names).slice(0, count);
}
