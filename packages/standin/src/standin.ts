import type { Clock } from '@canvasridge/clock';
import { Telemetry } from '@canvasridge/telemetry';
import { EngineEmulator } from './engine/engine-emulator.js';
import { ConfigurationServiceEmulator } from './platform/configuration-service-emulator.js';
import { MachineListEmulator } from './platform/machine-list-emulator.js';
import type { FaultChange } from './platform/platform-http.js';
import { WeightStoreEmulator } from './platform/weight-store-emulator.js';
import { ServiceEmulator } from './service/service-emulator.js';
import type { StandinSettings } from './settings.js';

/** What actually happened at the back ends; checkers compare it with what callers were told. */
export interface StandinRecords {
  readonly engines: readonly {
    readonly id: string;
    readonly executions: readonly {
      readonly requestId: string;
      readonly model: string;
      readonly atMs: number;
    }[];
    readonly unloadedWhileRunning: readonly {
      readonly adapter: string;
      readonly atMs: number;
      readonly by: string;
    }[];
    readonly loads: number;
    readonly failedLoads: number;
    readonly unloads: number;
    readonly wastedLoads: number;
    readonly staleRefusals: number;
    readonly steps: number;
    readonly batchEfficiency: number;
    readonly busyMs: number;
  }[];
  readonly services: readonly {
    readonly name: string;
    readonly executions: readonly {
      readonly requestId: string;
      readonly key: string;
      readonly path: string;
    }[];
  }[];
  readonly weightStore: { readonly fetches: number; readonly busyMs: number };
  readonly configuration: {
    readonly reads: number;
    readonly refusedReads: number;
    readonly peakReadsPerSecond: number;
  };
}

/** The whole emulated platform, without its HTTP interfaces. */
export class Standin {
  readonly telemetry: Telemetry;
  readonly weightStore: WeightStoreEmulator;
  readonly configuration: ConfigurationServiceEmulator;
  readonly machines: MachineListEmulator;
  readonly engines = new Map<string, EngineEmulator>();
  readonly services: ServiceEmulator[] = [];

  constructor(settings: StandinSettings, clock: Clock) {
    this.telemetry = new Telemetry({ processName: 'standin', clock });
    this.weightStore = new WeightStoreEmulator(settings.weightStore, clock);
    this.configuration = new ConfigurationServiceEmulator(clock, settings.configuration.readsPerSecond);
    this.machines = new MachineListEmulator(clock, settings.machines.lagMs);
    for (const machine of settings.machines.list) {
      this.machines.set({ id: machine.id, role: machine.role, state: 'live', gossip: machine.gossip }, true);
    }
    for (const { id, base, slots, maxBatch, checksFence, behaviour } of settings.engines) {
      const identity = { id, base, slots, maxBatch, checksFence };
      this.engines.set(id, new EngineEmulator(identity, behaviour, this.weightStore, clock, settings.seed));
    }
    for (const service of settings.services) {
      this.services.push(new ServiceEmulator(service.name, clock, service.latencyMs));
    }
  }

  /** Changes faults and lags. An unknown engine or service is ignored. */
  applyFault(fault: FaultChange): void {
    if (fault.configuration !== undefined) this.configuration.setMode(fault.configuration);
    if (fault.machineListLagMs !== undefined) this.machines.lagMs = fault.machineListLagMs;
    if (fault.weightStore !== undefined) Object.assign(this.weightStore.behaviour, fault.weightStore);
    if (fault.engine !== undefined) this.#applyEngineFault(fault.engine);
    if (fault.service !== undefined) this.#applyServiceFault(fault.service);
    if (fault.machine !== undefined) this.#applyMachine(fault.machine);
    this.telemetry.event('info', 'fault.applied', JSON.stringify(fault));
  }

  records(): StandinRecords {
    return {
      engines: [...this.engines.values()].map((engine) => {
        const { record, identity } = engine;
        return {
          id: identity.id,
          executions: record.executions,
          unloadedWhileRunning: record.unloadedWhileRunning,
          loads: record.loads,
          failedLoads: record.failedLoads,
          unloads: record.unloads,
          wastedLoads: record.wastedLoads,
          staleRefusals: record.staleRefusals,
          steps: record.steps,
          batchEfficiency: record.batchEfficiency(identity.maxBatch),
          busyMs: record.busyMs,
        };
      }),
      services: this.services.map(({ name, executions }) => ({ name, executions })),
      weightStore: { fetches: this.weightStore.fetches, busyMs: this.weightStore.busyMs },
      configuration: {
        reads: this.configuration.reads,
        refusedReads: this.configuration.refusedReads,
        peakReadsPerSecond: this.configuration.peakReadsPerSecond,
      },
    };
  }

  #applyEngineFault(fault: NonNullable<FaultChange['engine']>): void {
    const engine = this.engines.get(fault.id);
    if (engine === undefined) return;
    if (fault.restart === true) engine.restart();
    if (fault.reachable !== undefined) engine.reachable = fault.reachable;
    if (fault.reportLagMs !== undefined) engine.behaviour.reportLagMs = fault.reportLagMs;
    if (fault.cacheEventLoss !== undefined) engine.behaviour.cacheEventLoss = fault.cacheEventLoss;
    if (fault.loadFailureShare !== undefined) engine.behaviour.loadFailureShare = fault.loadFailureShare;
  }

  #applyServiceFault(fault: NonNullable<FaultChange['service']>): void {
    for (const service of this.services) {
      if (service.name !== fault.name) continue;
      if (fault.reachable !== undefined) service.reachable = fault.reachable;
      if (fault.breakAfterExecution !== undefined) service.breakAfterExecution = fault.breakAfterExecution;
      if (fault.latencyMs !== undefined) service.latencyMs = fault.latencyMs;
    }
  }

  #applyMachine(machine: NonNullable<FaultChange['machine']>): void {
    const { id, role, state, gossip } = machine;
    if (state === 'gone') this.machines.remove(id);
    else this.machines.set({ id, role, state, gossip });
  }
}
