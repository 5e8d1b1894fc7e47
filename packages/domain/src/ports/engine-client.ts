import type { ResultAsync } from 'neverthrow';
import type { AdapterRef } from '../model-name.js';

/** A generation to run on an engine. `body` is the caller's JSON, passed on unchanged. */
export interface EngineRequest {
  readonly requestId: string;
  readonly path: '/v1/completions' | '/v1/chat/completions';
  readonly model: AdapterRef;
  readonly body: Uint8Array;
  readonly priority: number;
  /**
   * Fencing token of the sender's claim on the engine. An engine that checks fences refuses requests and
   * orders with a lower token than that of the latest claim.
   */
  readonly fence: number;
  /** Whether the generation is cancelled or kept for resuming when the connection closes before its end. */
  readonly onDisconnect: 'cancel' | 'keep';
}

/** Receives a response as it arrives: one call of `start`, then a `write` for each chunk. */
export interface StreamSink {
  start(status: number, headers: Readonly<Record<string, string>>): void;
  /**
   * Returns false when the receiver's buffer is full; `waitForDrain` then resolves when it has room again.
   */
  write(chunk: Uint8Array): boolean;
  waitForDrain(): Promise<void>;
}

/** Result of a completed generation. */
export interface GenerationEnd {
  /** Highest event id that was passed to the sink, or -1. */
  readonly lastEventId: number;
}

/**
 * Why a call to an engine failed. `executed: 'no'` means that the engine certainly has not run the request.
 */
export type EngineError =
  | { readonly kind: 'unreachable'; readonly executed: 'no'; readonly detail: string }
  | { readonly kind: 'stale-fence'; readonly executed: 'no'; readonly currentFence: number }
  | { readonly kind: 'adapter-not-loaded'; readonly executed: 'no' }
  | { readonly kind: 'full'; readonly executed: 'no' }
  | { readonly kind: 'rejected'; readonly executed: 'no'; readonly status: number; readonly detail: string }
  | {
      readonly kind: 'broken';
      readonly executed: 'unknown';
      readonly lastEventId: number;
      readonly detail: string;
    }
  | { readonly kind: 'cancelled'; readonly executed: 'unknown' };

/** A control command to an engine, sent with the sender's fence. */
export type EngineOrder =
  | { readonly kind: 'claim'; readonly holder: string; readonly leaseMs: number }
  | { readonly kind: 'renew'; readonly holder: string; readonly leaseMs: number }
  | { readonly kind: 'load'; readonly adapter: string; readonly version: string }
  | { readonly kind: 'unload'; readonly adapter: string; readonly version: string }
  | { readonly kind: 'role'; readonly role: 'serve' | 'drain' };

/**
 * An engine's reply to an order. `incarnation` changes when the engine restarts, which unloads all adapters.
 */
export type EngineOrderReply =
  | { readonly kind: 'done'; readonly fence: number; readonly incarnation: string }
  | { readonly kind: 'stale-fence'; readonly fence: number; readonly incarnation: string }
  | {
      readonly kind: 'failed';
      readonly fence: number;
      readonly incarnation: string;
      readonly detail: string;
    };

export interface LoadedAdapter {
  readonly adapter: string;
  readonly version: string;
  /** Number of requests running on the adapter. */
  readonly running: number;
}

/** Snapshot of an engine's state, taken some time before the report was requested. */
export interface EngineReport {
  readonly engineId: string;
  readonly incarnation: string;
  /** Age of the snapshot in milliseconds, measured by the engine's clock. */
  readonly snapshotAgeMs: number;
  /** The engine's current fence at the snapshot. */
  readonly fence: number;
  /** The process that held the engine's lease at the snapshot. */
  readonly holder: string;
  /** Time from the last accepted claim or renewal to the snapshot, in milliseconds. */
  readonly renewedAgoMs: number;
  /** Time left of the holder's lease at the snapshot, in milliseconds; negative if it had expired. */
  readonly leaseLeftMs: number;
  readonly running: number;
  readonly queued: number;
  readonly adapters: readonly LoadedAdapter[];
}

/** Client of one engine. */
export interface EngineClient {
  /** Runs a generation and writes the response to `sink`. Aborting `signal` cancels it on the engine. */
  generate(
    request: EngineRequest,
    sink: StreamSink,
    signal: AbortSignal,
  ): ResultAsync<GenerationEnd, EngineError>;
  /** Resumes a stream after the event with id `afterEventId`; starts no new generation. */
  resume(
    requestId: string,
    afterEventId: number,
    sink: StreamSink,
    signal: AbortSignal,
  ): ResultAsync<GenerationEnd, EngineError>;
  /** Sends an order; resolves with the engine's reply once it has been executed or refused. */
  order(fence: number, order: EngineOrder, signal?: AbortSignal): ResultAsync<EngineOrderReply, EngineError>;
  report(): ResultAsync<EngineReport, EngineError>;
}
