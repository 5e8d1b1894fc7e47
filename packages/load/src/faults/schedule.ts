import type { Random } from '@canvasridge/clock';
import type { DeploymentModel } from '../deployments/deployments.js';

/** A fault, with when it begins and how long it lasts, in milliseconds of virtual time. */
export interface Fault {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly lastsMs: number;
  /** Node, engine, or nodes of one side of a partition. */
  readonly targets: readonly string[];
}

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

/** Faults begin in this span; after it everything heals. */
export const FAULT_SPAN = { fromMs: 10_000, untilMs: 30_000 } as const;
export const TRAFFIC_UNTIL_MS = 36_000;
export const END_MS = 90_000;

const FEWEST_FAULTS = 3;
const MOST_FAULTS = 8;
const LONGEST_MS = 12_000;
const SHORTEST_MS = 1500;

/** Draws a schedule: several faults that may overlap, any kind more than once. */
export function drawSchedule(random: Random, model: DeploymentModel): Fault[] {
  const count = FEWEST_FAULTS + random.integer(MOST_FAULTS - FEWEST_FAULTS + 1);
  const faults: Fault[] = [];
  const used = new Set<string>();
  while (faults.length < count) {
    const kind = random.pick(FAULT_KINDS) ?? 'kill-node';
    const atMs = FAULT_SPAN.fromMs + random.next() * (FAULT_SPAN.untilMs - FAULT_SPAN.fromMs);
    const lastsMs = SHORTEST_MS + random.next() * (LONGEST_MS - SHORTEST_MS);
    const targets = drawTargets(kind, random, model);
    // One node or engine is hit by one fault of its own kind of process at a time; the rest may overlap.
    const conflict = ONE_AT_A_TIME.has(kind) ? `process/${targets[0] ?? ''}` : `${kind}/${faults.length}`;
    if (used.has(conflict)) continue;
    used.add(conflict);
    faults.push({ kind, atMs, lastsMs, targets });
  }
  return faults.sort((a, b) => a.atMs - b.atMs);
}

const ONE_AT_A_TIME: ReadonlySet<FaultKind> = new Set([
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
