import type { Clock } from '@canvasridge/clock';
import type { Directory } from './directory.js';

/** A share is computed again only after this time, because each computation reads all members. */
const REFRESH_MS = 250;
/**
 * The share in use is the smallest one of this time, so that a node that is cut off from others does not use
 * theirs.
 */
const WINDOW_MS = 30_000;

/**
 * The fraction of a fleet-wide limit, such as connections to a backend or retries, that this node may use
 * without asking any other. The shares of all nodes add up to at most 1, as long as they see the same
 * members.
 */
export class FleetShare {
  readonly #clock: Clock;
  readonly #directory: Directory;
  readonly #selfId: string;
  /** Recent shares, the smallest first: a new share replaces all that are not smaller than it. */
  #smallest: { readonly share: number; readonly atMs: number }[] = [];
  #refreshedMs = -Infinity;

  constructor(clock: Clock, directory: Directory, selfId: string) {
    this.#clock = clock;
    this.#directory = directory;
    this.#selfId = selfId;
  }

  /** From 0 to 1. */
  get value(): number {
    const nowMs = this.#clock.now();
    if (nowMs - this.#refreshedMs >= REFRESH_MS) this.#refresh(nowMs);
    return this.#smallest[0]?.share ?? 0;
  }

  #refresh(nowMs: number): void {
    this.#refreshedMs = nowMs;
    const share = this.#directory.shareOf(this.#selfId);
    const kept = this.#smallest.filter((entry) => entry.share < share && nowMs - entry.atMs < WINDOW_MS);
    this.#smallest = [...kept, { share, atMs: nowMs }];
  }
}
