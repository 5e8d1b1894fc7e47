/**
 * How the time within which a leaving backend must be given nothing more (the drain bound) is divided among all that
 * the news passes through. Each part is a share of the bound, so that the sum holds on every deployment.
 *
 * Where each node reads the store, the news takes one step: a reader pauses after changes, so that many come together.
 * Where a few nodes read it for the others, a follower's list is at most
 * `trustedAge + poll + three hedges` = 0.57 of the bound old while it reaches a reader in touch with the store, with
 * calls on their way and the follower's own waits for processor time on top (a reader's are part of the age that it tells): an
 * answer counts only if its reader heard from the store `trustedAge` ago or later, and a reader that is silent is
 * passed over after a hedge. What is left is for the sender: to ask for a slot, to connect, for what its link holds.
 */
const DIRECT_READER_PAUSE_SHARE = 0.3;
const DIRECT_READER_WATCH_SHARE = 0.75;
const READER_PAUSE_SHARE = 0.2;
/** A watch without news ends after this part, so that a reader knows that it is not cut off. */
const READER_WATCH_SHARE = 0.25;
const TRUSTED_AGE_SHARE = 0.35;
const POLL_SHARE = 0.13;
const HEDGE_SHARE = 0.03;
/** From this age on a sender asks readers before it gives a backend a request. */
const SEND_AGE_SHARE = 0.62;
/**
 * From this age on it asks them again right before the request is written, which waited since then for a connection or for
 * processor time: 0.15 is left for what the sender's link holds.
 */
const LAST_LOOK_SHARE = 0.85;
/** From this age on a follower reads the store itself. */
const ORPHANED_AGE_SHARE = 0.75;

/** Times in milliseconds; see the shares above. */
export interface DepartureBudget {
  /** Pause of a reader after a watch that brought changes, where every node reads. */
  readonly directReaderPauseMs: number;
  /** Longest watch there. */
  readonly directReaderWatchMs: number;
  /** The same two where others follow the readers. */
  readonly readerPauseMs: number;
  readonly readerWatchMs: number;
  /** Age of its list up to which a reader's answer is trusted. */
  readonly trustedAgeMs: number;
  /** Pause of a follower between two rounds of questions. */
  readonly pollMs: number;
  /** A reader that has not answered for this long is left behind, and the next one asked. */
  readonly hedgeMs: number;
  readonly sendAgeMs: number;
  readonly lastLookMs: number;
  readonly orphanedAgeMs: number;
}

/** @param drainMs time within which each node has to know that a backend leaves */
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
    lastLookMs: drainMs * LAST_LOOK_SHARE,
    orphanedAgeMs: drainMs * ORPHANED_AGE_SHARE,
  };
}
