import type { Problem } from '@canvasridge/domain';

/** A request that a caller makes, possibly in several attempts. */
export interface Call {
  readonly id: string;
  /**
   * `stream` and `whole` are generations with and without streaming. The `-once` kinds must not be executed
   * more than once.
   */
  readonly kind: 'stream' | 'whole' | 'service' | 'service-once' | 'generation-once';
  /** Model name, or the path of a service call. */
  readonly target: string;
  readonly prompt: string;
  readonly maxTokens: number;
}

/** One attempt of a call, with its own request id. */
export interface CallAttempt {
  readonly requestId: string;
  /**
   * Whether the system said that it executed the attempt: `answered` with a response, `no` or `unknown` with
   * a problem, or `none` if the connection broke without a response. `no` also stands for an attempt that
   * could not be sent.
   */
  readonly reportedExecution: 'answered' | 'no' | 'unknown' | 'none';
}

/** Outcome of a call for its caller. */
export interface CallResult {
  readonly call: Call;
  /** `lost`: no complete response, no refusal and no stated "unknown". */
  readonly outcome: 'completed' | 'refused' | 'unknown' | 'lost';
  readonly attempts: readonly CallAttempt[];
  /** Whether the response named another model than the one requested. */
  readonly wrongModel: boolean;
  /** Whether the text of the response belongs to another call. */
  readonly wrongText: boolean;
  readonly problem: Problem | undefined;
  readonly firstTokenMs: number | undefined;
  readonly loadStallMs: number;
  readonly durationMs: number;
}

/** Whether a call must not be executed more than once. */
export function isAtMostOnce(call: Call): boolean {
  return call.kind === 'service-once' || call.kind === 'generation-once';
}
