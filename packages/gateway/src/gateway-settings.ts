import type { AddressBinder } from '@canvasridge/addresses';
import type { Clock } from '@canvasridge/clock';
import type { FleetState } from '@canvasridge/serving';
import type { EngineControl, SlotTiming, DisabledMechanisms } from '@canvasridge/slots';
import type { Telemetry } from '@canvasridge/telemetry';
import type { RetryBudgetOptions } from './backends/retry-budget.js';
import type { QuotaTolerance } from './cluster/fleet-quotas.js';
import type { KeyLease } from './cluster/key-lease.js';
import type { ConfigurationBounds } from './cluster/operator-pace.js';
import type { EngineFences } from './cluster/order-permission.js';
import type { RequestDialect } from './request/dialect.js';

/** Settings of a gateway: its identity, its addresses and its limits. */
export interface GatewaySettings {
  readonly nodeId: string;
  readonly zone: string;
  readonly region: string;
  readonly ip: string;
  readonly frontPort: number;
  /** Port for gossip over UDP and for calls between nodes over TCP. */
  readonly peerPort: number;
  /** Key shared by the nodes, which authenticates gossip. */
  readonly peerKey: string;
  /** Memory that the process may use, in bytes. */
  readonly memoryBytes: number;
  /** Descriptors that the process may open. Absent: what the operating system allows. */
  readonly maxDescriptors?: number | undefined;
  /** Client connections at a time. Absent: no limit. */
  readonly maxClientConnections?: number | undefined;
  /** CPU time that this node may use, in cores of the reference speed. */
  readonly capacity: number;
  readonly retryBudget: RetryBudgetOptions;
  readonly slotTiming: SlotTiming;
  readonly engineFences: EngineFences;
  /** Mechanisms of the scheduling policy that are disabled, for measurements. */
  readonly switchedOff: DisabledMechanisms;
  /** Time within which each node has to know that a backend leaves, in milliseconds. */
  readonly drainMs: number;
  /**
   * Time after the publication of an adapter's version from which on no request may begin on an older one, in
   * milliseconds; undefined if the operators set none.
   */
  readonly adapterVersionMs?: number | undefined;
  /**
   * How long a configuration may be relied upon for access rights that can be revoked, and how often it is
   * confirmed during that time.
   */
  readonly keyLease: KeyLease;
  /** How soon a configuration has to be in force; undefined if the operators set no bound. */
  readonly configurationBounds?: ConfigurationBounds | undefined;
  /** Undefined if the operator sets none. */
  readonly quotaTolerance: QuotaTolerance | undefined;
  /** Time from the stop signal until the process has to be gone, in milliseconds. */
  readonly stopGraceMs: number;
  /** Whether the whole system is started for the first time. */
  readonly firstStart: boolean;
}

export interface GatewayOptions {
  readonly settings: GatewaySettings;
  /** Addresses of peers to contact first; the list may change. */
  readonly seeds: () => readonly string[];
  readonly clock: Clock;
  /** Binds the sockets. */
  readonly binder: AddressBinder;
  readonly telemetry: Telemetry;
  readonly dialect: RequestDialect;
  readonly control: EngineControl;
  readonly fleet: FleetState;
  /** Number of log lines dropped so far. */
  readonly droppedLogLines: () => number;
}
