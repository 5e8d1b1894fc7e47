/** A run of a request on a backend, as far as it concerns the shared parts of its prompt. */
export interface PartRun {
  /** Keys of the parts that other requests may have, too, by which they are quarantined. */
  readonly parts: readonly string[];
  /** Identifies one start of the process of the backend. */
  readonly backendId: string;
  readonly service: string;
}

/**
 * Finds parts of prompts that crash the backends which begin a response to them, whatever else the requests hold, and
 * quarantines them: see `QuarantineGate`.
 */
export interface PartCrashGate {
  /**
   * Reports that a backend crashed before the response of this run began, or just after. Resolves once it is known
   * whether that quarantines a part, or after a short time limit, as the caller may be about to send the request again.
   */
  crashed(run: PartRun): Promise<void>;
  /**
   * Reports that a run ended without showing whether its backend crashed: nothing more was received, this node lost its
   * path to the backend, the client left, or the response ended in a way that a crash may have, too.
   */
  unresolved(run: PartRun): void;
  /**
   * Reports that a run went on after its response had begun, so that it did not crash its backend.
   * @param begunForMs time since the response began, in milliseconds
   */
  ran(run: PartRun, begunForMs: number): void;
}
