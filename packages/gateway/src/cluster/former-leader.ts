import type { Cluster } from './cluster.js';

/** What tells whether a leader is gone: the membership, and what came over the connection to it. */
export interface LeaderSight extends Pick<Cluster, 'selfId' | 'processOf'> {
  /** Whether a member sent this node anything just now. */
  readonly heardLately: (id: string) => boolean;
}

interface LeaderProcess {
  readonly id: string;
  readonly token: string | undefined;
}

/** The last other node that led a pool, and whether that process can still give orders. */
export class FormerLeader {
  readonly #sight: LeaderSight;
  #former: LeaderProcess | undefined;

  constructor(sight: LeaderSight) {
    this.#sight = sight;
  }

  /** A node is seen to lead now. */
  note(leader: string | undefined): void {
    if (leader === undefined || leader === this.#sight.selfId) return;
    this.#former = { id: leader, token: this.#sight.processOf(leader)?.token };
  }

  /**
   * Whether its process ended, was replaced, said that it stops, or is believed dead while it is silent here too:
   * a member can be believed dead wrongly for a moment. False if none was seen.
   */
  isGone(): boolean {
    if (this.#former === undefined) return false;
    const now = this.#sight.processOf(this.#former.id);
    if (now === undefined || now.token !== this.#former.token) return true;
    if (now.state === 'dead') return !this.#sight.heardLately(this.#former.id);
    return now.state !== 'alive' && now.state !== 'suspect';
  }
}
