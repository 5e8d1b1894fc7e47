/**
 * Quarantines requests that crash the backends that run them. When a backend fails, each request that it was
 * running may be either the cause or a victim. A request that is sent again and interrupted on several
 * different backends is taken for the cause.
 *
 * Parts of prompts are quarantined in the same way (see `PartCrashGate`): their keys stand where a fingerprint does, but
 * for the reports of how runs ended.
 */
export interface QuarantineGate {
  /** Whether no request is quarantined or suspected, so that callers can skip the lookup. */
  readonly isEmpty: boolean;
  /** Remaining time of the request's quarantine in milliseconds; undefined if it is not quarantined. */
  remainingMs(fingerprint: string): number | undefined;
  /**
   * Time after which it is worth sending a quarantined request again, in milliseconds: when a trial may have
   * released it, or when its quarantine ends.
   */
  retryAfterMs(fingerprint: string): number;
  /** Whether {@link requestTrial} may allow a run of a quarantined request now. */
  isTrialDue(fingerprint: string): boolean;
  /** Resolves to whether a quarantined request may be sent to one backend, once. */
  requestTrial(fingerprint: string): Promise<boolean>;
  /**
   * Reports that a backend failed while running the request. Resolves once it is known whether that puts the
   * request into quarantine, or after a short time limit, as the caller may be about to send the request
   * again.
   * @param backendId identifies one start of the process of the backend that failed
   * @param runMs time since the request was sent to that backend, in milliseconds
   */
  interrupted(fingerprint: string, backendId: string, runMs?: number): Promise<void>;
  /**
   * Reports that a run of the request ended without showing whether its backend failed: nothing more was received, this
   * node lost its path to the backend, or the client left.
   * @param runMs time since the request was sent to that backend, in milliseconds
   */
  unresolved(fingerprint: string, backendId: string, runMs: number): void;
  /**
   * Reports that a backend completed the request successfully, so that the request did not crash backends
   * when this run was sent.
   * @param runMs time since the request was sent to that backend, in milliseconds
   */
  completed(fingerprint: string, runMs?: number): void;
}
