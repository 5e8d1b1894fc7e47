import * as z from 'zod';
import type { PoolRequest, RunningUse, SlotDecision, StreamProgress, UseOutcome } from '@canvasridge/slots';

/** JSON-RPC methods by which nodes request slots from the leader of a pool. */
export const ACQUIRE_METHOD = 'slots.acquire';
export const DECIDED_METHOD = 'slots.decided';
export const CANCEL_METHOD = 'slots.cancel';
export const STARTED_METHOD = 'slots.started';
export const USES_METHOD = 'slots.uses';
export const RELEASE_METHOD = 'slots.release';
export const RATE_LIMIT_METHOD = 'slots.rate-limit';

/**
 * Params of {@link ACQUIRE_METHOD}. The answer is an {@link AcquireReply}; the decision on a queued request
 * follows later.
 */
export interface AcquireParams {
  readonly pool: string;
  /** With the fields of a SlotRequest if the pool is one of engines. */
  readonly request: PoolRequest;
}

export type AcquireReply =
  | { readonly kind: 'decided'; readonly decision: SlotDecision }
  | { readonly kind: 'queued' }
  | { readonly kind: 'not-leader' };

/** Params of {@link STARTED_METHOD}: engines have started their responses to these requests. */
export interface StartedParams {
  readonly pool: string;
  readonly requestIds: readonly string[];
}

/** Params of {@link USES_METHOD}: what the sender runs on the engines of a pool that has a new leader. */
export interface UsesParams {
  readonly pool: string;
  /** The reporting node; it also reports when it runs nothing. */
  readonly member: string;
  readonly uses: readonly RunningUse[];
}

/** Params of {@link RELEASE_METHOD} and {@link CANCEL_METHOD}. */
export interface ReleaseParams {
  readonly pool: string;
  readonly requestId: string;
  readonly outcome: UseOutcome;
  /**
   * The engine of the request, if it has told the sender that it is leaving and its entry does not say so
   * yet.
   */
  readonly leaving?: string;
  /** Of {@link CANCEL_METHOD}: the sender gave up asking, and not its client. Absent from earlier builds. */
  readonly isWithdrawn?: boolean;
  /** How fast the events of its stream came; absent from earlier builds and if it is not known. */
  readonly progress?: StreamProgress | undefined;
}

/** Bounds of what a node may report, far above any stream. */
const MAX_EVENTS = 1_000_000;
const MAX_SPAN_MS = 86_400_000;

/** Checks {@link ReleaseParams.progress} of a message from another node. */
export const streamProgress = z.object({
  events: z.number().int().positive().max(MAX_EVENTS),
  spanMs: z.number().nonnegative().max(MAX_SPAN_MS),
});

/**
 * Params of {@link RATE_LIMIT_METHOD}: an engine has announced to the sender how many requests it accepts
 * from all nodes together.
 */
export const rateLimitParams = z.object({
  pool: z.string(),
  backendId: z.string(),
  /** Requests a second; null if the engine no longer announces a limit. */
  perSecond: z.number().nonnegative().nullable(),
});
export type RateLimitParams = z.infer<typeof rateLimitParams>;

/** The decision for a request that was cancelled, or whose leader does not lead any more. */
export function cancelledDecision(requestId: string): SlotDecision {
  return { kind: 'refused', requestId, reason: 'stopping', retryAfterMs: 0 };
}
