import * as z from 'zod';

/** Speed and faults of one emulated engine. Times are milliseconds, lengths are tokens. */
export const engineBehaviourSchema = z.strictObject({
  /** Length of a decoding step with an empty batch. */
  stepBaseMs: z.number().min(0).default(18),
  /** Added to a step by each running sequence. */
  stepPerSequenceMs: z.number().min(0).default(0.25),
  /** Added to a step by each prompt token processed in it. */
  prefillPerTokenMs: z.number().min(0).default(0.05),
  /** Prompt tokens processed in one step at the most (chunked prefill). */
  prefillTokensPerStep: z.int().min(1).default(512),
  /** Requests waiting for a place in the batch before the engine answers that it is full. */
  queueLimit: z.int().min(0).default(64),
  /** Blocks held by the prefix cache. */
  prefixCacheBlocks: z.int().min(0).default(4096),
  /** Time between two snapshots for reports. */
  reportIntervalMs: z.number().min(1).default(250),
  /** Age of the snapshot that a report gives. */
  reportLagMs: z.number().min(0).default(500),
  cacheEventLagMs: z.number().min(0).default(1000),
  /** Share of cache events that are never published. */
  cacheEventLoss: z.number().min(0).max(1).default(0.05),
  /** How long a generation goes on, and its tokens are kept, after its reader went away. */
  resumeWindowMs: z.number().min(0).default(10_000),
  /** Share of loads that fail. */
  loadFailureShare: z.number().min(0).max(1).default(0),
  /** Time that an engine takes to attach weights it has fetched. */
  attachMs: z.number().min(0).default(30),
});

export type EngineBehaviour = z.infer<typeof engineBehaviourSchema>;

export const DEFAULT_ENGINE_BEHAVIOUR: EngineBehaviour = engineBehaviourSchema.parse({});

/** Identity and size of one emulated engine. */
export interface EngineIdentity {
  readonly id: string;
  readonly base: string;
  readonly slots: number;
  readonly maxBatch: number;
  readonly checksFence: boolean;
}
