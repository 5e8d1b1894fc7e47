/** A request that wants to run on an engine of a pool. Times are in milliseconds. */
export interface SlotRequest {
  /** Unique among requests and their attempts. */
  readonly id: string;
  /** The client's own name for the request, under which logs tell of it. */
  readonly traceId: string;
  readonly model: string;
  /** Undefined for the base model itself. */
  readonly adapter: string | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Name of the tenant for whom it runs; undefined where requests run for nobody in particular. */
  readonly tenant: string | undefined;
  readonly objectiveMs: number;
  /** Time since the client's request arrived. */
  readonly ageMs: number;
  /** Time after which an answer is of no use, counted as `ageMs` is. */
  readonly timeoutMs: number;
  /** Time after which the client is gone if it got nothing, counted in the same way. */
  readonly startWithinMs: number;
  /** Engines that it was sent to before. */
  readonly excluded: readonly string[];
  /** Length of the prompt, which an engine reads before its first event. */
  readonly promptTokens: number;
  /** The same for a request that is sent again after a refusal; undefined if nothing tells. */
  readonly promptKey: string | undefined;
}

/** Why no engine was given. */
export type RefusalReason = 'no-slot-in-time' | 'no-engine' | 'stopping';

export type SlotDecision =
  | {
      readonly kind: 'granted';
      readonly requestId: string;
      readonly backendId: string;
      readonly address: string;
      /**
       * Requests a second within which the engine was granted, as it names such a limit; null where it named one that has ended;
       * absent if the granting node has heard of none.
       */
      readonly ratePerSecond?: number | null;
      /** Revision of the engine's entry as the granting node knows it; absent if that one has lost sight of it. */
      readonly entryRevision?: number;
      /** Era of the publishing store in which that revision counts; absent from a build that reads none. */
      readonly entryEra?: number;
    }
  | {
      readonly kind: 'refused';
      readonly requestId: string;
      readonly reason: RefusalReason;
      /** When a slot may be free. */
      readonly retryAfterMs: number;
    };

/** A request that runs on an engine, as the node that sent it there tells a new leader. */
export interface RunningUse {
  readonly requestId: string;
  readonly backendId: string;
  readonly model: string;
  readonly adapter: string | undefined;
  readonly promptTokens: number;
  /** Whether the engine has begun its answer. */
  readonly started: boolean;
  /** Milliseconds after which it is over in any case. */
  readonly leftMs: number;
}

/** How a request that was granted a slot ended, as far as the engine is concerned. */
export type UseOutcome = 'served' | 'not-present' | 'refused' | 'failed' | 'cancelled';
