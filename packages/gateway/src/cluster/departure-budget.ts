/**
 * Divides the time within which a leaving backend must stop receiving requests (the drain bound) among the
 * steps by which the information reaches a sender. Each step gets a fraction of the bound, so that the sum
 * holds for every deployment.
 *
 * Where every node reads the store, there is one step: a reader pauses after changes, so that many arrive
 * together. Where a few nodes read it for the others, the list of a follower in contact with a reader that
 * has contact with the store is at most `trustedAge + poll + three hedges` = 0.57 of the bound old, plus the
 * transit time of calls and the follower's own waits for CPU time (a reader's waits are part of the age
 * that it states): an answer counts only if its reader heard from the store at most `trustedAge` ago, and a
 * reader that does not answer is passed over after a hedge delay. The rest is for the sender: to request a
 * slot, to connect, and for data queued on its link.
 */
const DIRECT_READER_PAUSE_SHARE = 0.3;
const DIRECT_READER_WATCH_SHARE = 0.75;
const READER_PAUSE_SHARE = 0.2;
/** A watch without changes ends after this fraction, so that a reader knows that it is not cut off. */
const READER_WATCH_SHARE = 0.25;
const TRUSTED_AGE_SHARE = 0.35;
const POLL_SHARE = 0.13;
const HEDGE_SHARE = 0.03;
/** From this age of its list on a sender asks readers before it sends a request to a backend. */
const SEND_AGE_SHARE = 0.62;
/**
 * From this age on it asks them again right before the request, which meanwhile waited for a connection or
 * for CPU time, is written: 0.15 is left for data queued on the sender's link.
 */
const FINAL_CHECK_AGE_SHARE = 0.85;
/** From this age on a follower reads the store itself. */
const FALLBACK_READ_AGE_SHARE = 0.75;

/** Times in milliseconds; see the fractions above. */
export interface DepartureBudget {
  /** Pause of a reader after a watch that returned changes, where every node reads the store. */
  readonly directReaderPauseMs: number;
  /** Longest watch where every node reads the store. */
  readonly directReaderWatchMs: number;
  /** Pause and longest watch where other nodes follow the readers. */
  readonly readerPauseMs: number;
  readonly readerWatchMs: number;
  /** A reader's answer is trusted if its list is at most this old. */
  readonly trustedAgeMs: number;
  /** Pause of a follower between two polls of the readers. */
  readonly pollMs: number;
  /** If a reader has not answered for this long, the next one is asked as well. */
  readonly hedgeMs: number;
  readonly sendAgeMs: number;
  readonly finalCheckAgeMs: number;
  readonly fallbackReadAgeMs: number;
}

/** @param drainMs time within which each node must know that a backend is leaving */
export function departureBudget(drainMs: number): DepartureBudget {
  return {
    directReaderPauseMs: drainMs * DIRECT_READER_PAUSE_SHARE,
    directReaderWatchMs: drainMs * DIRECT_READER_WATCH_SHARE,
    readerPauseMs: drainMs * READER_PAUSE_SHARE,
    readerWatchMs: drainMs * READER_WATCH_SHARE,
    trustedAgeMs: drainMs * TRUSTED_AGE_SHARE,
    pollMs: drainMs * POLL_SHARE,
    hedgeMs: drainMs * HEDGE_SHARE,
    sendAgeMs: drainMs * SEND_AGE_SHARE,
    finalCheckAgeMs: drainMs * FINAL_CHECK_AGE_SHARE,
    fallbackReadAgeMs: drainMs * FALLBACK_READ_AGE_SHARE,
  };
}
