import { SystemClock } from '@canvasridge/clock';
import { ConfigurationIndex, configurationSchema, type Configuration } from '@canvasridge/domain';
import { EngineFleet } from '@canvasridge/node';
import { DEFAULT_OWNERSHIP_TIMING } from '@canvasridge/ownership';
import { hash32 } from '@canvasridge/placement';
import { Telemetry } from '@canvasridge/telemetry';
import type { Member } from '@canvasridge/membership';

/** Required size of the deployment. */
const ADAPTERS = 42_000;
const ENGINES = 600;
const BASES = 5;
const NODES = 370;
const SLOTS = 8;
const DECISIONS = 200_000;
const WARM_UP = 20_000;

/** A configuration of the required size. */
export function largeConfiguration(adapters = ADAPTERS, engines = ENGINES): Configuration {
  return configurationSchema.parse({
    bases: Array.from({ length: BASES }, (_unused, index) => ({ name: `base-${index}` })),
    adapters: Array.from({ length: adapters }, (_unused, index) => ({
      name: `adapter-${index}`,
      base: `base-${index % BASES}`,
      versions: ['v1'],
    })),
    engines: Array.from({ length: engines }, (_unused, index) => ({
      id: `engine-${index}`,
      url: `http://127.0.0.1:${10_000 + index}`,
      base: `base-${index % BASES}`,
      zone: `zone-${index % 4}`,
      slots: SLOTS,
      maxBatch: 32,
    })),
    callers: [{ name: 'c', team: 't', keySha256: ['a'.repeat(64)], requestsPerSecond: 1, concurrency: 1 }],
  });
}

/** Mean time of one routing decision at the required size, in microseconds, over many adapters. */
export function measureDecisionCost(): number {
  const index = new ConfigurationIndex(1, largeConfiguration());
  const fleet = newFleet();
  fleet.applyConfiguration(index);
  publishEngines(fleet, index);
  const names = index.configuration.adapters.map((adapter) => `${adapter.base}:${adapter.name}@v1`);
  const decide = (count: number): void => {
    for (let iteration = 0; iteration < count; iteration += 1) {
      // The step is a prime number, so that all adapters are used and successive ones are far apart.
      const model = index.resolveModel(names[(iteration * 7919) % names.length] ?? '');
      if (model.isOk()) fleet.choose(model.value, NO_EXCLUSIONS);
    }
  };
  decide(WARM_UP);
  const startedAtMs = performance.now();
  decide(DECISIONS);
  return ((performance.now() - startedAtMs) * 1000) / DECISIONS;
}

const NO_EXCLUSIONS: ReadonlySet<string> = new Set();

function newFleet(): EngineFleet {
  const clock = new SystemClock();
  return new EngineFleet({
    clock,
    telemetry: new Telemetry({ processName: 'bench', clock }),
    timing: DEFAULT_OWNERSHIP_TIMING,
    self: () => member(0),
    member: (id) => member(Number(id.slice('node-'.length))),
    isLeaving: () => false,
    newClient: () => {
      throw new Error('no engine is called');
    },
    acquireLoad: () => Promise.resolve(undefined),
    publish: () => undefined,
  });
}

/** Publishes each engine as owned by another node, with a full set of loaded adapters of its base. */
function publishEngines(fleet: EngineFleet, index: ConfigurationIndex): void {
  for (const [position, engine] of index.configuration.engines.entries()) {
    const loaded = Array.from({ length: SLOTS }, (_unused, slot) => {
      const adapter = (position + slot * ENGINES) % ADAPTERS;
      return hash32(`adapter-${adapter}@v1`);
    });
    // Fence, running, queued, reclaimable, hashes of the loaded adapters.
    const value = [1, position % 32, 0, 1, loaded];
    fleet.remoteEngines.update({
      owner: `node-${1 + (position % (NODES - 1))}`,
      key: `e/${engine.id}`,
      version: 1,
      value,
    });
  }
}

function member(number: number): Member {
  return {
    id: `node-${number}`,
    zone: `zone-${number % 4}`,
    region: 'region-1',
    gossip: '',
    peerUrl: '',
    callerUrl: '',
    capacity: 0,
    processToken: '',
    incarnation: 1,
    state: 'alive',
  };
}
