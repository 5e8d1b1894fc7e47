import type { ResultAsync } from 'neverthrow';
import type { AdapterRef } from '../model-name.js';

/** A generation to run on an engine. `body` is the caller's JSON, passed through. */
export interface EngineRequest {
  readonly requestId: string;
  readonly path: '/v1/completions' | '/v1/chat/completions';
  readonly model: AdapterRef;
  readonly body: Uint8Array;
  readonly priority: number;
  readonly fence: number;
  /** What becomes of the generation when the caller's connection ends early: cancelled, or kept for a resume. */
  readonly onDisconnect: 'cancel' | 'keep';
}

/** Receives an answer while it arrives. Calls come in order: one `start`, then chunks. */
export interface StreamSink {
  start(status: number, headers: Readonly<Record<string, string>>): void;
  /** Returns false when the receiver is full; `waitForDrain` then resolves when it has room. */
  write(chunk: Uint8Array): boolean;
  waitForDrain(): Promise<void>;
}

/** How a generation ended. */
export interface GenerationEnd {
  /** Highest event id that was passed to the sink, or -1. */
  readonly lastEventId: number;
}

/** Why a call to an engine failed. `executed: 'no'` stands only where the engine cannot have run it. */
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

/** An order to an engine. Each carries the fence of the sender. */
export type EngineOrder =
  | { readonly kind: 'claim'; readonly holder: string; readonly leaseMs: number }
  | { readonly kind: 'renew'; readonly holder: string; readonly leaseMs: number }
  | { readonly kind: 'load'; readonly adapter: string; readonly version: string }
  | { readonly kind: 'unload'; readonly adapter: string; readonly version: string }
  | { readonly kind: 'role'; readonly role: 'serve' | 'drain' };

/** What an engine answers to an order. `incarnation` changes when it restarted empty. */
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
  readonly running: number;
}

/** State of an engine at some moment before it was asked: reports lag. */
export interface EngineReport {
  readonly engineId: string;
  readonly incarnation: string;
  /** Age of the snapshot in milliseconds, on the engine's own clock. */
  readonly snapshotAgeMs: number;
  /** Fence that was in force at the snapshot. */
  readonly fence: number;
  readonly holder: string;
  /** Time from the last accepted claim or renewal to the snapshot, in milliseconds. */
  readonly renewedAgoMs: number;
  /** Rest of the holder's lease at the snapshot, in milliseconds; negative when it has run out. */
  readonly leaseLeftMs: number;
  readonly running: number;
  readonly queued: number;
  readonly adapters: readonly LoadedAdapter[];
}

/** One engine, met through its protocol. */
export interface EngineClient {
  /** Runs a generation; the answer goes to `sink`. Aborting `signal` cancels it on the engine. */
  generate(
    request: EngineRequest,
    sink: StreamSink,
    signal: AbortSignal,
  ): ResultAsync<GenerationEnd, EngineError>;
  /** Continues a stream after the event with id `afterEventId`; starts no new work. */
  resume(
    requestId: string,
    afterEventId: number,
    sink: StreamSink,
    signal: AbortSignal,
  ): ResultAsync<GenerationEnd, EngineError>;
  order(fence: number, order: EngineOrder, signal?: AbortSignal): ResultAsync<EngineOrderReply, EngineError>;
  report(): ResultAsync<EngineReport, EngineError>;
}
