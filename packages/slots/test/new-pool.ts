import type { VirtualClock } from '@canvasridge/clock';
import { Telemetry } from '@canvasridge/telemetry';
import { AdapterMemory, DEFAULT_SLOT_TIMING, SlotPool, type DisabledMechanisms } from '../src/index.js';
import { LEASE_MS, PROFILE, SimulatedControl, type SimulatedEngine } from './simulated-engines.js';

/** Creates a pool over simulated engines that check no fences, led by the node with this number. */
export function newPool(
  clock: VirtualClock,
  engines: readonly SimulatedEngine[],
  number = 1,
  versions: ReadonlyMap<string, number> = new Map(),
  isBackingOff: (engine: string) => boolean = () => false,
  disabled: DisabledMechanisms = new Set(),
  requiredVersion: (adapter: string) => number = () => 0,
): SlotPool {
  const pool = new SlotPool({
    service: 'llm',
    clock,
    fleetClock: clock,
    control: new SimulatedControl(engines),
    timing: { ...DEFAULT_SLOT_TIMING, leaseMs: LEASE_MS },
    holder: { name: `node-${number}`, number },
    telemetry: new Telemetry({ processName: 'test', clock }),
    mayOrder: () => true,
    term: () => number,
    mayObserve: () => true,
    mayTakeAfterLease: () => true,
    onForeignOrders: () => undefined,
    mayTakeUnused: () => false,
    mayTakeAtOnce: () => false,
    memory: new AdapterMemory(),
    disabled,
    tenantWeight: () => 1,
    isBackingOff,
    adapterVersion: (_model, adapter) => versions.get(adapter) ?? 0,
    requiredVersion: (_model, adapter) => requiredVersion(adapter),
  });
  pool.setEngines(
    engines.map((engine) => engine.description),
    PROFILE,
  );
  return pool;
}
