import * as z from 'zod';
import type {
  PoolRequest,
  RunningUse,
  SlotDecision,
  SlotRequest,
  StreamProgress,
  UseOutcome,
} from '@canvasridge/slots';
import { socketAddressField } from '../peers/socket-address-field.js';
import { listOf } from '../peers/list-of.js';

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
  readonly leaving?: string | undefined;
  /** Of {@link CANCEL_METHOD}: the sender gave up asking, and not its client. Absent from earlier builds. */
  readonly isWithdrawn?: boolean | undefined;
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

/** Longest id or name; clients choose ids of requests, within the limits of their headers. */
const MAX_TEXT_LENGTH = 65_536;
/** Sums of times up to here stay exact to the millisecond; configurations hold no longer ones. */
const MAX_TIME_MS = 1e15;

const text = z.string().max(MAX_TEXT_LENGTH);
/** The membership protocol takes no longer ones. */
const MAX_MEMBER_LENGTH = 256;
const timeMs = z.number().min(-MAX_TIME_MS).max(MAX_TIME_MS);
const tokens = z.number().min(0);

const poolRequest = z.object({
  id: text,
  traceId: text,
  priority: z.number(),
  tenant: text.optional(),
  route: text.exactOptional(),
  objectiveMs: timeMs,
  zone: text.exactOptional(),
  ageMs: timeMs,
  timeoutMs: timeMs,
  startWithinMs: timeMs,
  isContinued: z.boolean().optional(),
  excluded: listOf(text),
  softwareVersion: text.optional(),
  isTakeover: z.boolean().exactOptional(),
} satisfies Record<keyof PoolRequest, z.ZodType>);

/** Fields of a request for an engine, which names a model. */
const engineFields = {
  model: text.exactOptional(),
  adapter: text.optional(),
  gapObjectiveMs: timeMs.optional(),
  promptTokens: tokens.exactOptional(),
  promptKey: text.optional(),
} satisfies Record<Exclude<keyof SlotRequest, keyof PoolRequest>, z.ZodType>;

/** Checks {@link AcquireParams}. */
export const acquireParams = z.object({
  pool: text,
  request: poolRequest
    .extend(engineFields)
    .refine(({ model, promptTokens }) => model === undefined || promptTokens !== undefined, {
      path: ['promptTokens'],
      error: 'expected with a model',
    })
    .transform((request) => ({ ...request, tenant: request.tenant })),
});

/** Checks {@link StartedParams}. */
export const startedParams = z.object({ pool: text, requestIds: listOf(text) });

/** Checks {@link UsesParams}. */
export const usesParams = z.object({
  pool: text,
  member: z.string().max(MAX_MEMBER_LENGTH),
  uses: listOf(
    z
      .object({
        requestId: text,
        backendId: text,
        model: text,
        adapter: text.optional(),
        promptTokens: tokens,
        started: z.boolean(),
        leftMs: timeMs,
      } satisfies Record<keyof RunningUse, z.ZodType>)
      .transform((use) => ({ ...use, adapter: use.adapter })),
  ),
});

/**
 * Checks {@link ReleaseParams}. What is not read beside the request must not keep its slot: an outcome of a later build
 * says nothing about the engine.
 */
export const releaseParams = z.object({
  pool: text,
  requestId: text,
  outcome: z.enum(['served', 'not-present', 'refused', 'failed', 'cancelled']).catch('cancelled'),
  leaving: text.optional().catch(undefined),
  isWithdrawn: z.boolean().optional().catch(undefined),
  progress: streamProgress.optional().catch(undefined),
} satisfies Record<keyof ReleaseParams, z.ZodType>);

const decision = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('granted'),
    requestId: text,
    backendId: text,
    address: socketAddressField,
    ratePerSecond: z.number().min(0).nullable().exactOptional(),
    entryRevision: z.number().exactOptional(),
    entryEra: z.number().exactOptional(),
    softwareVersion: text.exactOptional(),
    adapterVersion: z.number().exactOptional(),
  }),
  z.object({
    kind: z.literal('refused'),
    requestId: text,
    // A refusal for a reason of a later build, or without a usable time, is one all the same.
    reason: z.enum(['no-slot-in-time', 'no-engine', 'no-backend', 'stopping']).catch('no-slot-in-time'),
    retryAfterMs: z.number().min(0).max(MAX_TIME_MS).catch(0),
  }),
]);

/** Checks params of {@link DECIDED_METHOD}. */
export const slotDecision: z.ZodType<SlotDecision> = decision;

/** Checks an answer to {@link ACQUIRE_METHOD}. */
export const acquireReply: z.ZodType<AcquireReply> = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('decided'), decision }),
  z.object({ kind: z.literal('queued') }),
  z.object({ kind: z.literal('not-leader') }),
]);

/** The decision for a request that was cancelled, or whose leader does not lead any more. */
export function cancelledDecision(requestId: string): SlotDecision {
  return { kind: 'refused', requestId, reason: 'stopping', retryAfterMs: 0 };
}
