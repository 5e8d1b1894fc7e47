/** A generation that an engine accepted. */
export interface Execution {
  readonly requestId: string;
  readonly model: string;
  readonly atMs: number;
}

/** What an engine actually did. Checkers compare it with what callers were told. */
export class EngineRecord {
  readonly executions: Execution[] = [];
  /** Adapters that were unloaded while generations used them, with the engine's owner at that time. */
  readonly unloadedWhileRunning: { readonly adapter: string; readonly atMs: number; readonly by: string }[] =
    [];
  loads = 0;
  failedLoads = 0;
  unloads = 0;
  /** Number of adapters that were unloaded before any request used them. */
  wastedLoads = 0;
  /** Number of generation requests that were refused for a stale fence. */
  staleRefusals = 0;
  /** Number of steps of the batch, each of which produces up to one token for each sequence. */
  steps = 0;
  /** Number of sequences in the batch, summed over all steps. */
  sequenceSteps = 0;
  /** Total duration of all steps. */
  busyMs = 0;

  /** Mean fraction of the batch in use, over the steps of the engine. */
  batchEfficiency(maxBatch: number): number {
    return this.steps === 0 ? 0 : this.sequenceSteps / (this.steps * maxBatch);
  }
}
