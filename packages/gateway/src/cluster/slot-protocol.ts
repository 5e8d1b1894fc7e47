import * as z from 'zod';
import type { RunningUse, SlotDecision, SlotRequest, UseOutcome } from '@canvasridge/slots';

/** JSON-RPC methods by which nodes ask the leader of a pool for slots. */
export const ACQUIRE_METHOD = 'slots.acquire';
export const DECIDED_METHOD = 'slots.decided';
export const CANCEL_METHOD = 'slots.cancel';
export const STARTED_METHOD = 'slots.started';
export const USES_METHOD = 'slots.uses';
export const RELEASE_METHOD = 'slots.release';
export const RATE_LIMIT_METHOD = 'slots.rate-limit';

/** Params of {@link ACQUIRE_METHOD}. The answer is a {@link AcquireReply}; a queued one is decided later. */
export interface AcquireParams {
  readonly pool: string;
  readonly request: SlotRequest;
}

export type AcquireReply =
  | { readonly kind: 'decided'; readonly decision: SlotDecision }
  | { readonly kind: 'queued' }
  | { readonly kind: 'not-leader' };

/** Params of {@link STARTED_METHOD}: engines have begun to answer these requests. */
export interface StartedParams {
  readonly pool: string;
  readonly requestIds: readonly string[];
}

/** Params of {@link USES_METHOD}: what the sender runs on the engines of a pool that has a new leader. */
export interface UsesParams {
  readonly pool: string;
  /** The node that tells; it does so also when it runs nothing. */
  readonly member: string;
  readonly uses: readonly RunningUse[];
}

export interface ReleaseParams {
  readonly pool: string;
  readonly requestId: string;
  readonly outcome: UseOutcome;
  /** The engine of the request, where it has told the sender that it leaves and its entry does not say so yet. */
  readonly leaving?: string;
}

/** Params of {@link RATE_LIMIT_METHOD}: an engine has named to the sender how many requests it takes from all nodes together. */
export const rateLimitParams = z.object({
  pool: z.string(),
  backendId: z.string(),
  /** Requests a second; null where it names no limit any more. */
  perSecond: z.number().nonnegative().nullable(),
});
export type RateLimitParams = z.infer<typeof rateLimitParams>;

/** What a request that is not wanted any more is told; nobody reads it. */
export function cancelledDecision(requestId: string): SlotDecision {
  return { kind: 'refused', requestId, reason: 'stopping', retryAfterMs: 0 };
}
