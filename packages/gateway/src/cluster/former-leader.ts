import type { Cluster } from './cluster.js';

/** What shows whether a leader is gone: the membership, and what was received over the connection to it. */
export interface LeaderLiveness extends Pick<Cluster, 'selfId' | 'processOf'> {
  /** Whether a member sent this node anything recently. */
  readonly receivedRecently: (id: string) => boolean;
}

interface LeaderProcess {
  readonly id: string;
  readonly token: string | undefined;
}

/** Tracks the last other node that led a pool, and whether that process can still give orders. */
export class FormerLeader {
  readonly #liveness: LeaderLiveness;
  #former: LeaderProcess | undefined;

  constructor(liveness: LeaderLiveness) {
    this.#liveness = liveness;
  }

  /** Records which node leads now. */
  recordLeader(leader: string | undefined): void {
    if (leader === undefined || leader === this.#liveness.selfId) return;
    this.#former = { id: leader, token: this.#liveness.processOf(leader)?.token };
  }

  /**
   * Whether its process ended, was replaced, announced that it stops, or is considered dead and has also sent
   * this node nothing recently: a member can be considered dead by mistake for a moment. False if no other
   * leader was seen.
   */
  isGone(): boolean {
    if (this.#former === undefined) return false;
    const now = this.#liveness.processOf(this.#former.id);
    if (now === undefined || now.token !== this.#former.token) return true;
    if (now.state === 'dead') return !this.#liveness.receivedRecently(this.#former.id);
    return now.state !== 'alive' && now.state !== 'suspect';
  }
}
