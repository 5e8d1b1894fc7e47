import type { BackendDescription, BackendService, HttpRoute } from '@canvasridge/serving';
import type { UseOutcome } from '@canvasridge/slots';
import type { GenerationFacts } from '../request/dialect.js';

/** What a picker knows of the request that wants a backend. */
export interface PickContext {
  /** Unique over all requests and their attempts. */
  readonly id: string;
  /** The client's own name for the request, for logs. */
  readonly traceId: string;
  readonly route: HttpRoute;
  readonly service: BackendService;
  /** Name of the tenant for whom it runs. */
  readonly tenant: string | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly generation: GenerationFacts | undefined;
  /** Milliseconds since the client's request arrived. */
  readonly ageMs: number;
  /** Milliseconds after arrival at which the request is of no more use. */
  readonly timeoutMs: number;
  /** Milliseconds after arrival at which the client is gone if it got nothing more by then. */
  readonly startWithinMs: number;
  /** Backends that were tried before. */
  readonly excluded: readonly string[];
}

export type PickResult =
  | {
      readonly kind: 'picked';
      readonly backend: BackendDescription;
      /** How the backend was chosen, for logs. */
      readonly how: string;
      /** Whether it counts within the limit that the backend names for all nodes together. */
      readonly isRateCounted: boolean;
      /** To be called once, when the backend has begun its answer. */
      readonly started: () => void;
      /** To be called once, when the attempt has ended. */
      readonly finish: (outcome: UseOutcome) => void;
    }
  | { readonly kind: 'none'; readonly reason: string; readonly retryAfterMs: number | undefined };

/** Chooses a backend for each attempt of a request. Policies differ by the kind of service. */
export interface BackendPicker {
  /** `cancelled` ends a wait at once. */
  pick(context: PickContext, cancelled: AbortSignal): Promise<PickResult>;
}
