/**
 * Keeps requests from backends that end the backends that run them. A request under which a backend breaks off may have
 * been struck by the backend's fault, or be the cause of it; one that comes again, under another backend each time, is the
 * cause.
 */
export interface QuarantineGate {
  /** Whether no request is kept from backends or suspected, so that none has to be looked up. */
  readonly isEmpty: boolean;
  /** Time for which a request is kept from backends still, in milliseconds; undefined if it is not. */
  remainingMs(fingerprint: string): number | undefined;
  /**
   * Resolves once it is known whether the request is kept from backends for it, or if that takes too long for one that is to
   * be sent again.
   * @param backendId names one start of the process of the backend that broke off under the request
   */
  interrupted(fingerprint: string, backendId: string): Promise<void>;
  /** A backend answered the request with a whole success, so it is not what ends backends. */
  endedWell(fingerprint: string): void;
}
