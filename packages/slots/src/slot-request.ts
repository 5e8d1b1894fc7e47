import type { SocketAddress } from '@canvasridge/addresses';
import { softwareVersionOf, type BackendDescription } from '@canvasridge/serving';

/** What the leader of any pool needs to know of a request for a slot. Times are in milliseconds. */
export interface PoolRequest {
  /** Unique per attempt of a request. */
  readonly id: string;
  /** The client's own id of the request, used in logs. */
  readonly traceId: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** The tenant it runs for; undefined if it belongs to no tenant. */
  readonly tenant: string | undefined;
  /** Name of its route; absent from earlier builds. */
  readonly route?: string;
  /** Target for the time from the arrival of the client's request to its first event, or to its response if it is not streamed. */
  readonly objectiveMs: number;
  /** Zone of the node that sends the request to its backend; absent from earlier builds. */
  readonly zone?: string;
  /** Time since the client's request arrived. */
  readonly ageMs: number;
  /** Age after which a response is of no use. */
  readonly timeoutMs: number;
  /** Age after which the client gives up if it has received nothing. */
  readonly startWithinMs: number;
  /** Whether its client has received a part of the answer; absent from earlier builds. */
  readonly isContinued?: boolean | undefined;
  /** Ids of backends that must not get the request, such as those it was sent to before. */
  readonly excluded: readonly string[];
  /** Software version of the backends that may continue its stream; absent if any may run it. */
  readonly softwareVersion?: string | undefined;
  /**
   * Whether it still runs at a backend that is silent, which may go on before another one takes over. Absent from earlier
   * builds.
   */
  readonly isTakeover?: boolean;
}

/** Whether a request may be sent to a backend, as far as what it has been sent to before decides that. */
export function mayRunOn(
  { excluded, softwareVersion }: Pick<PoolRequest, 'excluded' | 'softwareVersion'>,
  backend: BackendDescription,
): boolean {
  if (excluded.includes(backend.id)) return false;
  return softwareVersion === undefined || softwareVersion === softwareVersionOf(backend);
}

/** A request for an engine of a pool. Times are in milliseconds. */
export interface SlotRequest extends PoolRequest {
  readonly model: string;
  /** Undefined for the base model itself. */
  readonly adapter: string | undefined;
  /** Longest pause between two events with which its stream still meets its objective; absent if none is set. */
  readonly gapObjectiveMs?: number | undefined;
  /** Length of the prompt, which the engine processes before its first event. */
  readonly promptTokens: number;
  /** Equal for a request and its retry after a refusal, to recognize retries; undefined if they can't be recognized. */
  readonly promptKey: string | undefined;
}

/** Whether a request names a model, as only requests for engines do. */
export function isEngineRequest(request: PoolRequest): request is SlotRequest {
  return 'model' in request && typeof request.model === 'string';
}

/** Why a request was refused a slot. `no-backend`: a pool of plain backends has none that it may be sent to. */
export type RefusalReason = 'no-slot-in-time' | 'no-engine' | 'no-backend' | 'stopping';

export type SlotDecision =
  | {
      readonly kind: 'granted';
      readonly requestId: string;
      readonly backendId: string;
      readonly address: SocketAddress;
      /**
       * The engine's limit in requests per second, within which the grant was made. Null if a former limit has ended,
       * absent if the granting node knows of no limit.
       */
      readonly ratePerSecond?: number | null;
      /** Revision of the engine's published entry as known to the granting node; absent if it no longer knows the entry. */
      readonly entryRevision?: number;
      /** Era of the publishing store to which that revision belongs; absent from builds that do not read eras. */
      readonly entryEra?: number;
      /** Software version of the backend as known to the granting node; absent if it tells none. */
      readonly softwareVersion?: string;
      /** Version of the request's adapter that the engine holds as known to the granting node; absent from earlier builds. */
      readonly adapterVersion?: number;
    }
  | {
      readonly kind: 'refused';
      readonly requestId: string;
      readonly reason: RefusalReason;
      /** Estimated time until a slot is free. */
      readonly retryAfterMs: number;
    };

/** The decision that grants a request a slot of this backend. */
export function grantDecision(
  requestId: string,
  { id, address, softwareVersion }: BackendDescription,
): SlotDecision & { readonly kind: 'granted' } {
  const version = softwareVersion === undefined ? {} : { softwareVersion };
  return { kind: 'granted', requestId, backendId: id, address, ...version };
}

/**
 * A request that runs on a backend, as reported to a new leader by the node that sent it there. Requests to plain backends
 * have an empty model and no prompt.
 */
export interface RunningUse {
  readonly requestId: string;
  readonly backendId: string;
  readonly model: string;
  readonly adapter: string | undefined;
  readonly promptTokens: number;
  /** Whether the first event of the response has arrived. */
  readonly started: boolean;
  /** Milliseconds until the request times out. */
  readonly leftMs: number;
}

/** How fast the events of a stream came: how many after the first arrival, and how long they took in milliseconds. */
export interface StreamProgress {
  readonly events: number;
  readonly spanMs: number;
}

/** How a granted request ended, from the engine's point of view. `not-present`: the engine lacked the model or adapter. */
export type UseOutcome = 'served' | 'not-present' | 'refused' | 'failed' | 'cancelled';
