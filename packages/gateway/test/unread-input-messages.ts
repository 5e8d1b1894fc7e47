import type { BackendDescription } from '@canvasridge/serving';

/** What arrives at a node while its event loop is held up. */
export type Arrival =
  /** A request on a kept connection. */
  | 'request'
  /** A request on a connection that the client has just opened. */
  | 'request-on-new-connection'
  /** The response to another request, in which the backend announces its leaving. */
  | 'notice'
  /** The answer of a reader of the store, with a list in which the backend leaves. */
  | 'list';

export type OutsideStep =
  | { readonly kind: 'open'; readonly nodePort: number }
  /** Answered when the reader of the store has a question that it has not answered. */
  | { readonly kind: 'await-question' }
  | { readonly kind: 'arrive'; readonly arrivals: readonly Arrival[] }
  | { readonly kind: 'report' };

export interface OutsideSetup {
  readonly backend: BackendDescription;
  /** Address for peers of the node that reads the store. */
  readonly readerAddress: string;
}

/** What became of the request that arrived unread. */
export interface UnreadOutcome {
  readonly status: number;
  /** Whether it reached the backend. */
  readonly hasArrived: boolean;
}

/** Value of the shared number once everything has arrived. */
export const RELEASED = 1;
export const READER_ID = 'node-0';
