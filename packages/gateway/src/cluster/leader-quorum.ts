import type { Clock, Random } from '@canvasridge/clock';

/** Period in which a node that leads asks others whether they are in reach, in milliseconds. */
export const QUORUM_PERIOD_MS = 400;
/** Time in which they answer: as long as a leader may be silent before it is probed. */
const ANSWER_TIMEOUT_MS = 400;
/**
 * Members asked in each period. More than half of so many tell a node that is cut off from one that is not at any size, and
 * cost a leader of hundreds no more than 30 datagrams a second each way.
 */
const MOST_ASKED = 12;

export interface LeaderQuorumOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Members that were in sight of late, also those that are not any more; without this node. */
  readonly members: () => readonly string[];
  /** Asks members whether they are in reach; gives those that answered in time. */
  readonly ask: (members: readonly string[], timeoutMs: number) => Promise<readonly string[]>;
  /** These are in reach again, and most are; what they told one another meanwhile is to be learnt. */
  readonly onBackInReach: (members: readonly string[]) => void;
}

/**
 * When most others last answered this node. A node that is cut off notices it here within a second or two; the
 * membership, which looks at one member after the other, takes longer than the others take to elect the next leader.
 */
export class LeaderQuorum {
  readonly #options: LeaderQuorumOptions;
  #askedMs = -Infinity;
  #answeredMs = -Infinity;
  /** Whether most answered the question before. If not, this node may have missed a change of the leader, and the next one counts. */
  #isInReach = true;

  constructor(options: LeaderQuorumOptions) {
    this.#options = options;
  }

  /** Time since a question that most others answered was sent, in milliseconds; Infinity if none was. */
  get ageMs(): number {
    return this.#options.clock.now() - this.#answeredMs;
  }

  /** This node may have missed anything: it has to be answered anew, and to learn what it missed before that counts. */
  doubt(): void {
    this.#answeredMs = -Infinity;
    this.#askedMs = -Infinity;
    this.#isInReach = false;
  }

  /** Asks anew if it is time to; to be called often. */
  async renew(): Promise<void> {
    const { clock, random, members, ask, onBackInReach } = this.#options;
    const sentMs = clock.now();
    if (sentMs - this.#askedMs < QUORUM_PERIOD_MS) return;
    this.#askedMs = sentMs;
    const asked = random.shuffle([...members()]).slice(0, MOST_ASKED);
    // Of two nodes neither is most; who is in sight decides between them.
    if (asked.length < 2) {
      this.#answeredMs = sentMs;
      return;
    }
    const answered = await ask(asked, ANSWER_TIMEOUT_MS);
    const isMost = 2 * (answered.length + 1) > asked.length + 1;
    if (isMost && this.#isInReach) this.#answeredMs = Math.max(this.#answeredMs, sentMs);
    if (isMost && !this.#isInReach) onBackInReach(answered);
    this.#isInReach = isMost;
  }
}
