import type { ResultAsync } from 'neverthrow';
import type { StreamSink } from './engine-client.js';

/** A call to an HTTP service that is not an engine. */
export interface ServiceRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path and query, relative to the service's root. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

export interface ServiceReply {
  readonly status: number;
}

/** Why a call failed; `started` says whether part of the response has been written to the sink. */
export type ServiceError =
  | { readonly kind: 'unreachable'; readonly executed: 'no'; readonly detail: string }
  | {
      readonly kind: 'broken';
      readonly executed: 'unknown';
      readonly started: boolean;
      readonly detail: string;
    }
  | { readonly kind: 'cancelled'; readonly executed: 'unknown'; readonly started: boolean };

/** Calls back ends of HTTP services. */
export interface ServiceClient {
  call(
    backEndUrl: string,
    request: ServiceRequest,
    sink: StreamSink,
    signal: AbortSignal,
  ): ResultAsync<ServiceReply, ServiceError>;
}
