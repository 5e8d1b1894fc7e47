import type { Clock, Random } from '@canvasridge/clock';

/** Period in which a leader asks other members whether they are reachable, in milliseconds. */
export const QUORUM_PERIOD_MS = 400;
/**
 * Time within which they have to answer: the same as the time for which a leader may be silent before it is
 * probed.
 */
const ANSWER_TIMEOUT_MS = 400;
/**
 * Members asked in each period. A majority of this sample tells a node that is cut off from one that is not
 * in a fleet of any size, and costs a leader of hundreds of nodes no more than 30 datagrams a second in each
 * direction.
 */
const MAX_MEMBERS_ASKED = 12;

export interface LeaderQuorumOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Members that were visible recently, including those that no longer are, without this node. */
  readonly members: () => readonly string[];
  /** Asks members whether they are reachable; returns those that answered in time. */
  readonly ask: (members: readonly string[], timeoutMs: number) => Promise<readonly string[]>;
  /**
   * These members are reachable again, and they are a majority; this node must learn what they exchanged
   * meanwhile.
   */
  readonly onReachableAgain: (members: readonly string[]) => void;
}

/**
 * Tracks when a majority of the other members last answered this node. A node that is cut off notices it here
 * within a second or two; the membership protocol, which probes one member after the other, takes longer than
 * the others take to elect the next leader.
 */
export class LeaderQuorum {
  readonly #options: LeaderQuorumOptions;
  #askedMs = -Infinity;
  #answeredMs = -Infinity;
  /**
   * Whether a majority answered the previous request. If not, this node may have missed a change of leader:
   * the next majority only makes it catch up, and the one after that counts.
   */
  #isReachable = true;

  constructor(options: LeaderQuorumOptions) {
    this.#options = options;
  }

  /**
   * Time since the last request that a majority answered was sent, in milliseconds; Infinity if there was
   * none.
   */
  get ageMs(): number {
    return this.#options.clock.now() - this.#answeredMs;
  }

  /**
   * Discards the quorum, as this node may have missed any change: a majority must answer again, and this node
   * must learn what it missed before an answer counts.
   */
  invalidate(): void {
    this.#answeredMs = -Infinity;
    this.#askedMs = -Infinity;
    this.#isReachable = false;
  }

  /** Asks again if the period has passed; call it often. */
  async renew(): Promise<void> {
    const { clock, random, members, ask, onReachableAgain } = this.#options;
    const sentMs = clock.now();
    if (sentMs - this.#askedMs < QUORUM_PERIOD_MS) return;
    this.#askedMs = sentMs;
    const asked = random.shuffle([...members()]).slice(0, MAX_MEMBERS_ASKED);
    // One of two nodes is no majority; the membership's visibility decides between them.
    if (asked.length < 2) {
      this.#answeredMs = sentMs;
      return;
    }
    const answered = await ask(asked, ANSWER_TIMEOUT_MS);
    const isMajority = 2 * (answered.length + 1) > asked.length + 1;
    if (isMajority && this.#isReachable) this.#answeredMs = Math.max(this.#answeredMs, sentMs);
    if (isMajority && !this.#isReachable) onReachableAgain(answered);
    this.#isReachable = isMajority;
  }
}
