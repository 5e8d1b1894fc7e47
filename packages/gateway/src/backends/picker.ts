import type { BackendDescription, BackendService, HttpRoute } from '@canvasridge/serving';
import type { StreamProgress, UseOutcome } from '@canvasridge/slots';
import type { GenerationFacts } from '../request/dialect.js';

/** What a picker knows about the request that needs a backend. */
export interface PickContext {
  /** Unique across all requests and their attempts. */
  readonly id: string;
  /** The id that the client gave the request, for logs. */
  readonly traceId: string;
  readonly route: HttpRoute;
  readonly service: BackendService;
  /** Name of the tenant that the request belongs to. */
  readonly tenant: string | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly generation: GenerationFacts | undefined;
  /** Milliseconds since the client's request arrived. */
  readonly ageMs: number;
  /** Milliseconds after arrival at which the request times out. */
  readonly timeoutMs: number;
  /** Milliseconds after arrival at which the client gives up unless it has received more data by then. */
  readonly startWithinMs: number;
  /** Whether the client has received a part of the answer. */
  readonly isContinued?: boolean | undefined;
  /** Backends that must not be chosen: those already tried and those whose granted slot was unusable. */
  readonly excluded: readonly string[];
  /** Software version of the backends that may run the request; undefined if any may. */
  readonly softwareVersion?: string | undefined;
  /** Whether the request still runs at a backend that is silent, and may go on there before another one takes over. */
  readonly isTakeover?: boolean;
}

/** A backend that was chosen for an attempt, with a slot if its service has any. */
export interface PickedBackend {
  readonly kind: 'picked';
  readonly backend: BackendDescription;
  /**
   * Version of the request's adapter that the backend holds as far as its chooser knows; undefined if it does not know,
   * or if the request names no adapter.
   */
  readonly adapterVersion?: number | undefined;
  /** How the backend was chosen, for logs. */
  readonly how: string;
  /**
   * Whether the request was charged to the rate limit that the backend announced for all nodes together.
   */
  readonly isChargedToRateLimit: boolean;
  /** Call once, when the backend has started its response. */
  readonly started: () => void;
  /** Call once, when the attempt has ended; with how fast its events came if it was a stream. */
  readonly finish: (outcome: UseOutcome, progress?: StreamProgress) => void;
}

export type PickResult =
  | PickedBackend
  | { readonly kind: 'none'; readonly reason: string; readonly retryAfterMs: number | undefined };

/** Chooses a backend for each attempt of a request. The implementations differ by kind of service. */
export interface BackendPicker {
  /** `cancelled` ends a pending wait at once. */
  pick(context: PickContext, cancelled: AbortSignal): Promise<PickResult>;
}
