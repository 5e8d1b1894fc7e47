import type { Problem } from '@canvasridge/domain';

/** A request that a simulated caller makes. */
export interface Call {
  readonly id: string;
  readonly kind: 'stream' | 'whole' | 'service' | 'service-once' | 'generation-once';
  /** Model name, or path below the root for services. */
  readonly target: string;
  readonly prompt: string;
  readonly maxTokens: number;
}

/** One attempt of a call: each has a request id of its own. */
export interface CallAttempt {
  readonly requestId: string;
  /** What the attempt was told; `none` when its connection broke without an answer. */
  readonly told: 'answered' | 'no' | 'unknown' | 'none';
}

/** How a call ended for its caller. */
export interface CallResult {
  readonly call: Call;
  readonly outcome: 'completed' | 'refused' | 'unknown' | 'lost';
  readonly attempts: readonly CallAttempt[];
  /** The answer named another model than was asked for. */
  readonly wrongModel: boolean;
  /** The answer's text is not that of this call. */
  readonly wrongText: boolean;
  readonly problem: Problem | undefined;
  readonly firstTokenMs: number | undefined;
  readonly loadStallMs: number;
  readonly durationMs: number;
}

/** Whether the system must not run a call more than once. */
export function isOnce(call: Call): boolean {
  return call.kind === 'service-once' || call.kind === 'generation-once';
}
