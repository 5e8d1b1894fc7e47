/** A load whose adapter was used, as seen from a request that was sent to use it. */
export interface LoadUse {
  /** Identifies the load, so that one that is found missing repeatedly counts once. */
  readonly load: string;
  /** When the engine accepted the order. */
  readonly acceptedMs: number;
  /** Time from the acceptance until the request was sent. */
  readonly ageMs: number;
}

/** Estimates how long a load takes, learnt from whether requests found the adapter present. */
export interface LoadTime {
  /** Current estimate, in milliseconds. */
  readonly estimateMs: number;
  /** Whether a load was found present, so that the estimate is more than the initial one. */
  readonly isKnown: boolean;
  /** Returns after which time from now a load that was just accepted is tried first, in milliseconds. */
  firstTryMs(): number;
  /** Records that an adapter was not loaded yet. Returns false if that is a matter of this load alone. */
  recordTooEarly(use: LoadUse): boolean;
  /** Records that an adapter was loaded. */
  recordInTime(use: LoadUse): void;
}
