/** What an engine really did: the evidence that checkers judge by. */
export interface Execution {
  readonly requestId: string;
  readonly model: string;
  readonly atMs: number;
}

export class EngineRecord {
  readonly executions: Execution[] = [];
  /** Adapters that were unloaded while generations ran on them. */
  readonly unloadedWhileRunning: { readonly adapter: string; readonly atMs: number; readonly by: string }[] =
    [];
  loads = 0;
  failedLoads = 0;
  unloads = 0;
  /** Loads whose adapter was unloaded before any request used it. */
  wastedLoads = 0;
  staleRefusals = 0;
  steps = 0;
  /** Sum over steps of the number of sequences in the batch. */
  sequenceSteps = 0;
  busyMs = 0;

  /** Mean share of the batch in use while the engine was working. */
  batchEfficiency(maxBatch: number): number {
    return this.steps === 0 ? 0 : this.sequenceSteps / (this.steps * maxBatch);
  }
}
