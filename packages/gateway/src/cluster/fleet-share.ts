import type { Clock } from '@canvasridge/clock';
import type { Directory } from './directory.js';

/** A share is worked out anew after this time: it takes a pass over all members. */
const LOOK_AGAIN_MS = 250;
/** Shares are the smallest of this time, so that a node that is cut off from others does not use theirs. */
const WINDOW_MS = 30_000;

/**
 * The part of a bound on the whole fleet, such as connections to a back end or retries, that this node may use without
 * asking any other. Shares of all nodes sum up to 1 at the most, as far as they see the same members.
 */
export class FleetShare {
  readonly #clock: Clock;
  readonly #directory: Directory;
  readonly #selfId: string;
  /** Shares of late, the smallest first: a newer one that is smaller takes the place of all that are not. */
  #smallest: { readonly share: number; readonly atMs: number }[] = [];
  #lookedMs = -Infinity;

  constructor(clock: Clock, directory: Directory, selfId: string) {
    this.#clock = clock;
    this.#directory = directory;
    this.#selfId = selfId;
  }

  /** From 0 to 1. */
  get value(): number {
    const nowMs = this.#clock.now();
    if (nowMs - this.#lookedMs >= LOOK_AGAIN_MS) this.#look(nowMs);
    return this.#smallest[0]?.share ?? 0;
  }

  #look(nowMs: number): void {
    this.#lookedMs = nowMs;
    const share = this.#directory.shareOf(this.#selfId);
    const kept = this.#smallest.filter((entry) => entry.share < share && nowMs - entry.atMs < WINDOW_MS);
    this.#smallest = [...kept, { share, atMs: nowMs }];
  }
}
