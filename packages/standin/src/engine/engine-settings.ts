import * as z from 'zod';

/** Speed and faults of one emulated engine. Times are in milliseconds, lengths in tokens. */
export const engineBehaviourSchema = z.strictObject({
  /** Base duration of a decoding step, without the parts added by sequences and prompt tokens. */
  stepBaseMs: z.number().min(0).default(18),
  /** Time that each running sequence adds to a step. */
  stepPerSequenceMs: z.number().min(0).default(0.25),
  /** Time that each prompt token processed in a step adds to it. */
  prefillPerTokenMs: z.number().min(0).default(0.05),
  /** Maximum number of prompt tokens processed in one step (chunked prefill). */
  prefillTokensPerStep: z.int().min(1).default(512),
  /** Number of requests that may wait for a place in the batch; beyond it the engine refuses with `full`. */
  queueLimit: z.int().min(0).default(64),
  /** Capacity of the prefix cache in blocks. */
  prefixCacheBlocks: z.int().min(0).default(4096),
  /** Time between two snapshots of the state for reports. */
  reportIntervalMs: z.number().min(1).default(250),
  /** Minimum age of the snapshot that a report returns. */
  reportLagMs: z.number().min(0).default(500),
  /** Time from a change of the prefix cache until its event is published. */
  cacheEventLagMs: z.number().min(0).default(1000),
  /** Fraction of cache events that are never published. */
  cacheEventLoss: z.number().min(0).max(1).default(0.05),
  /** How long a generation goes on after its reader disconnected, so that it can be resumed. */
  resumeWindowMs: z.number().min(0).default(10_000),
  /** Fraction of loads that fail. */
  loadFailureShare: z.number().min(0).max(1).default(0),
  /** Time to attach weights after they were fetched. */
  attachMs: z.number().min(0).default(30),
});

export type EngineBehaviour = z.infer<typeof engineBehaviourSchema>;

export const DEFAULT_ENGINE_BEHAVIOUR: EngineBehaviour = engineBehaviourSchema.parse({});

/** Identity and capacity of one emulated engine. */
export interface EngineIdentity {
  readonly id: string;
  readonly base: string;
  readonly slots: number;
  readonly maxBatch: number;
  readonly checksFence: boolean;
}
