import type { Clock } from '@canvasridge/clock';
import type { EngineClient, EngineDefinition, EngineError, EngineRequest } from '@canvasridge/domain';
import type { EngineOwnership } from '@canvasridge/ownership';
import type { LoadGrant, LoadGrantRequest } from '@canvasridge/placement';
import type { Telemetry } from '@canvasridge/telemetry';

/** A generation to run on an engine that this node owns. */
export interface EngineWork {
  readonly request: Omit<EngineRequest, 'fence'>;
  readonly caller: string;
  /** Relative share of the engine that the caller gets while requests are queued. */
  readonly weight: number;
  /** Monotonic time at which the request must have been sent, in milliseconds. */
  readonly deadlineAtMs: number;
  /** Called right before the request is sent, with the time spent waiting for the adapter to load. */
  readonly onDispatch?: (stallMs: number) => void;
}

/** Why a generation did not run to its end on this engine. */
export type SchedulerError =
  | { readonly kind: 'queue-full'; readonly executed: 'no' }
  | { readonly kind: 'not-owner'; readonly executed: 'no' }
  | { readonly kind: 'load-failed'; readonly executed: 'no' }
  | { readonly kind: 'deadline-passed'; readonly executed: 'no' }
  | { readonly kind: 'cancelled'; readonly executed: 'no' }
  | { readonly kind: 'engine'; readonly executed: 'no' | 'unknown'; readonly cause: EngineError };

export interface EngineSchedulerOptions {
  readonly engine: EngineDefinition;
  readonly client: EngineClient;
  readonly ownership: EngineOwnership;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly acquireLoad: (request: LoadGrantRequest, signal: AbortSignal) => Promise<LoadGrant | undefined>;
  readonly queueLimit: () => number;
  /** Whether the engine's machine is being removed, in which case the engine gets no new work. */
  readonly isLeaving: () => boolean;
  /** Adapter versions that are kept loaded on this engine even without requests for them. */
  readonly pinnedKeys: () => readonly string[];
  /** Whether another engine is known to have the adapter loaded. */
  readonly isReplicated: (key: string) => boolean;
  /** Whether the current configuration still contains this adapter version. */
  readonly isServed: (adapter: string, version: string) => boolean;
  /** How long an order or request may still be in transit; used for engines that do not check fences. */
  readonly orderTimeoutMs: number;
  /** Called when the loaded adapters, or the number of running or queued requests, may have changed. */
  readonly onChange: () => void;
  /**
   * Called with the duration of each successful adapter load, which includes the waits for a grant and a slot,
   * and retries.
   */
  readonly onLoadTime: (milliseconds: number) => void;
}
