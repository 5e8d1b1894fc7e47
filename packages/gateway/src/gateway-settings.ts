import type { Clock } from '@canvasridge/clock';
import type { FleetState } from '@canvasridge/serving';
import type { EngineControl, SlotTiming, SwitchedOff } from '@canvasridge/slots';
import type { Telemetry } from '@canvasridge/telemetry';
import type { RetryBudgetOptions } from './backends/retry-budget.js';
import type { QuotaTolerance } from './cluster/fleet-quotas.js';
import type { KeyLease } from './cluster/key-lease.js';
import type { EngineFences } from './cluster/order-permission.js';
import type { RequestDialect } from './request/dialect.js';

/** Where a gateway listens and who it is. */
export interface GatewaySettings {
  readonly nodeId: string;
  readonly zone: string;
  readonly region: string;
  readonly ip: string;
  readonly frontPort: number;
  /** Gossip over UDP and calls between nodes over TCP. */
  readonly peerPort: number;
  readonly peerKey: string;
  /** Memory that the process may use. */
  readonly memoryBytes: number;
  /** Processor time that this node may use, in cores of the usual speed. */
  readonly capacity: number;
  readonly retryBudget: RetryBudgetOptions;
  readonly slotTiming: SlotTiming;
  readonly engineFences: EngineFences;
  /** Parts of the policy that are switched off, for measurements. */
  readonly switchedOff: SwitchedOff;
  /** Time within which each node has to know that a backend leaves. */
  readonly drainMs: number;
  /** How long a configuration gives rights that can be withdrawn, and how often it is confirmed for that. */
  readonly keyLease: KeyLease;
  /** Undefined where operators say nothing of it. */
  readonly quotaTolerance: QuotaTolerance | undefined;
  /** Time from the signal to stop until the process has to be gone. */
  readonly stopGraceMs: number;
  /** Whether the whole system starts for the first time. */
  readonly firstStart: boolean;
}

export interface GatewayOptions {
  readonly settings: GatewaySettings;
  /** Peer addresses to ask; may change. */
  readonly seeds: () => readonly string[];
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly dialect: RequestDialect;
  readonly control: EngineControl;
  readonly fleet: FleetState;
  /** Log lines left out so far. */
  readonly droppedLines: () => number;
}
