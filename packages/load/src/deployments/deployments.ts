import { createHash } from 'node:crypto';
import { configurationSchema, type Configuration } from '@canvasridge/domain';
import type { NodeSpec } from '../simulation/fleet.js';

/** Model of one of the operators' two deployments, with a chosen number of adapters. */
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

/** Size and settings of one of the operators' deployments. */
interface DeploymentShape {
  readonly name: string;
  readonly zones: readonly string[];
  readonly nodes: number;
  /** Number of engines, each on a machine of its own. */
  readonly runners: number;
  /** Number of back ends of the service. */
  readonly services: number;
  readonly serviceName: string;
  readonly atMostOncePath: string;
  readonly loadsPerSecond: number;
  readonly concurrency: number;
  readonly stallWeight: number;
  readonly callers: readonly string[];
}

const DEPLOYMENT_SHAPES = {
  imena: {
    name: 'imena',
    zones: ['kigali-1', 'kigali-2', 'kigali-3'],
    nodes: 7,
    runners: 6,
    services: 3,
    serviceName: 'payouts',
    atMostOncePath: '/confirm',
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
    atMostOncePath: '/reels',
    loadsPerSecond: 4,
    concurrency: 6,
    stallWeight: 0.3,
    callers: ['editors', 'partner-clubs', 'broadcasters'],
  },
} as const satisfies Record<string, DeploymentShape>;

export type DeploymentName = keyof typeof DEPLOYMENT_SHAPES;
export const DEPLOYMENT_NAMES = Object.keys(DEPLOYMENT_SHAPES) as readonly DeploymentName[];

const BASES = ['base-a', 'base-b'] as const;
const SLOTS = 8;
const MAX_BATCH = 16;
const LOAD_MS = 700;
/** Number of adapters in a group. */
const GROUP_SIZE = 25;
const PRIORITIES = ['interactive', 'standard', 'batch'] as const;
/** Every third engine does not check fences, so that each deployment has both kinds. */
const UNFENCED_ENGINE_INTERVAL = 3;

export interface DeploymentSizes {
  readonly adapters: number;
  /** Whether all engines check fences; by default every third does not. */
  readonly allCheckFences?: boolean;
}

export function isDeploymentName(text: string): text is DeploymentName {
  return text in DEPLOYMENT_SHAPES;
}

/** Builds the deployment of that name at its real size, with the given number of adapters. */
export function buildDeployment(name: DeploymentName, sizes: DeploymentSizes): DeploymentModel {
  const shape: DeploymentShape = DEPLOYMENT_SHAPES[name];
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
      checksFence:
        sizes.allCheckFences === true || index % UNFENCED_ENGINE_INTERVAL !== UNFENCED_ENGINE_INTERVAL - 1,
    })),
    services: [
      {
        name: shape.serviceName,
        backEnds: Array.from({ length: shape.services }, (_unused, index) => ({
          url: `http://10.0.2.${index + 1}:9000`,
          zone: zoneOf(index),
          machine: `application-${index + 1}`,
        })),
        notRepeatable: [{ method: 'POST', path: shape.atMostOncePath }],
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

/** Paths of the service: `once` for calls that must not be repeated, `repeatable` for those that may be. */
export function servicePaths(model: DeploymentModel): { readonly once: string; readonly repeatable: string } {
  const [service] = model.configuration.services;
  const root = `/services/${service?.name ?? ''}`;
  return { once: `${root}${service?.notRepeatable[0]?.path ?? ''}`, repeatable: `${root}/status` };
}
