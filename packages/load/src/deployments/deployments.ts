import { createHash } from 'node:crypto';
import { configurationSchema, type Configuration } from '@canvasridge/domain';
import type { NodeSpec } from '../simulation/fleet.js';

/** One of the two deployments of today, or a scaled one. */
export interface DeploymentModel {
  readonly name: string;
  readonly nodes: readonly NodeSpec[];
  readonly configuration: Configuration;
  readonly weightStore: {
    readonly loadsPerSecond: number;
    readonly concurrency: number;
    readonly loadMs: number;
  };
  readonly callers: readonly { readonly name: string; readonly key: string; readonly zone: string }[];
  /** Adapter popularity, as the exponent of a Zipf distribution. */
  readonly popularityExponent: number;
}

interface Shape {
  readonly name: string;
  readonly zones: readonly string[];
  readonly nodes: number;
  readonly runners: number;
  readonly services: number;
  readonly serviceName: string;
  readonly oncePath: string;
  readonly loadsPerSecond: number;
  readonly concurrency: number;
  readonly stallWeight: number;
  readonly callers: readonly string[];
}

const SHAPES = {
  imena: {
    name: 'imena',
    zones: ['kigali-1', 'kigali-2', 'kigali-3'],
    nodes: 7,
    runners: 6,
    services: 3,
    serviceName: 'payouts',
    oncePath: '/confirm',
    loadsPerSecond: 2,
    concurrency: 2,
    stallWeight: 0.8,
    callers: ['compliance-desk', 'partner-tellers', 'morning-review'],
  },
  vidiral: {
    name: 'vidiral',
    zones: ['lisbon-1', 'lisbon-2', 'lisbon-3', 'lisbon-4'],
    nodes: 9,
    runners: 13,
    services: 4,
    serviceName: 'archive',
    oncePath: '/reels',
    loadsPerSecond: 4,
    concurrency: 6,
    stallWeight: 0.3,
    callers: ['editors', 'partner-clubs', 'broadcasters'],
  },
} as const satisfies Record<string, Shape>;

export type DeploymentName = keyof typeof SHAPES;
export const DEPLOYMENT_NAMES = Object.keys(SHAPES) as readonly DeploymentName[];

const BASES = ['base-a', 'base-b'] as const;
const SLOTS = 8;
const MAX_BATCH = 16;
const LOAD_MS = 700;
const GROUP_SIZE = 25;
const PRIORITIES = ['interactive', 'standard', 'batch'] as const;
/** Every third engine checks no fences, so that both kinds are always in play. */
const UNCHECKED_EVERY = 3;

export interface DeploymentSizes {
  readonly adapters: number;
  /** Whether all engines check fences. */
  readonly allCheckFences?: boolean;
}

export function isDeploymentName(text: string): text is DeploymentName {
  return text in SHAPES;
}

/** The deployment of that name at the sizes of the brief, with as many adapters as are asked for. */
export function buildDeployment(name: DeploymentName, sizes: DeploymentSizes): DeploymentModel {
  const shape: Shape = SHAPES[name];
  const zoneOf = (index: number): string => shape.zones[index % shape.zones.length] ?? '';
  const nodes = Array.from({ length: shape.nodes }, (_unused, index) => ({
    id: `node-${index + 1}`,
    zone: zoneOf(index),
    region: name,
  }));
  const callers = shape.callers.map((caller, index) => ({
    name: caller,
    key: `${caller}-key`,
    zone: zoneOf(index),
  }));
  const configuration = configurationSchema.parse({
    bases: BASES.map((base) => ({ name: base })),
    adapters: Array.from({ length: sizes.adapters }, (_unused, index) => ({
      name: `adapter-${index}`,
      base: BASES[index % BASES.length],
      versions: ['v1'],
      group: `group-${Math.floor(index / GROUP_SIZE)}`,
    })),
    engines: Array.from({ length: shape.runners }, (_unused, index) => ({
      id: `engine-${index + 1}`,
      url: `http://10.0.1.${index + 1}:9000`,
      base: BASES[index % BASES.length],
      zone: zoneOf(index),
      machine: `runner-${index + 1}`,
      slots: SLOTS,
      maxBatch: MAX_BATCH,
      checksFence: sizes.allCheckFences === true || index % UNCHECKED_EVERY !== UNCHECKED_EVERY - 1,
    })),
    services: [
      {
        name: shape.serviceName,
        backEnds: Array.from({ length: shape.services }, (_unused, index) => ({
          url: `http://10.0.2.${index + 1}:9000`,
          zone: zoneOf(index),
          machine: `application-${index + 1}`,
        })),
        notRepeatable: [{ method: 'POST', path: shape.oncePath }],
      },
    ],
    callers: callers.map((caller, index) => ({
      name: caller.name,
      team: name,
      keySha256: [createHash('sha256').update(caller.key).digest('hex')],
      priority: PRIORITIES[index],
      requestsPerSecond: 200,
      concurrency: 400,
    })),
    tuning: {
      stallWeight: shape.stallWeight,
      weightStoreLoadsPerSecond: shape.loadsPerSecond,
      weightStoreConcurrency: shape.concurrency,
      directoryTtlSeconds: 2,
    },
  });
  const { loadsPerSecond, concurrency } = shape;
  return {
    name,
    nodes,
    configuration,
    weightStore: { loadsPerSecond, concurrency, loadMs: LOAD_MS },
    callers,
    popularityExponent: 1.1,
  };
}

/** Path of the service's calls that may run only once, and of those that may be repeated. */
export function servicePaths(model: DeploymentModel): { readonly once: string; readonly repeatable: string } {
  const [service] = model.configuration.services;
  const root = `/services/${service?.name ?? ''}`;
  return { once: `${root}${service?.notRepeatable[0]?.path ?? ''}`, repeatable: `${root}/status` };
}
