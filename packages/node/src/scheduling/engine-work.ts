import type { Clock } from '@canvasridge/clock';
import type { EngineClient, EngineDefinition, EngineError, EngineRequest } from '@canvasridge/domain';
import type { EngineOwnership } from '@canvasridge/ownership';
import type { LoadGrant, LoadWish } from '@canvasridge/placement';
import type { Telemetry } from '@canvasridge/telemetry';

/** A generation for an owned engine. */
export interface EngineWork {
  readonly request: Omit<EngineRequest, 'fence'>;
  readonly caller: string;
  /** Share of the caller when the engine is full. */
  readonly weight: number;
  /** Monotonic time at which the request must have been sent, in milliseconds. */
  readonly deadlineAtMs: number;
  /** Told the time waited for a load, in milliseconds, right before the request is sent. */
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
  readonly acquireLoad: (wish: LoadWish, signal: AbortSignal) => Promise<LoadGrant | undefined>;
  readonly queueLimit: () => number;
  /** Whether the engine's machine is leaving: it gets no new work. */
  readonly isLeaving: () => boolean;
  /** Adapter versions that this engine holds even while nobody asks for them. */
  readonly pinnedKeys: () => readonly string[];
  /** Whether another engine is known to hold the adapter. */
  readonly isReplicated: (key: string) => boolean;
  /** Whether the configuration in force still serves an adapter version. */
  readonly isServed: (adapter: string, version: string) => boolean;
  /** Time during which an order or request may still be on its way, for engines that check no fences. */
  readonly orderTimeoutMs: number;
  /** Called when the adapters held or the load changed. */
  readonly onChange: () => void;
  readonly onLoadTime: (milliseconds: number) => void;
}
