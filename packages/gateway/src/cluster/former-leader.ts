import type { Cluster } from './cluster.js';

/** The part of the membership that tells whether a leader is gone. */
export type LeaderSight = Pick<Cluster, 'selfId' | 'processOf'>;

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

  /** Whether its process ended, was replaced, said that it stops, or is believed dead. False if none was seen. */
  isGone(): boolean {
    if (this.#former === undefined) return false;
    const now = this.#sight.processOf(this.#former.id);
    if (now === undefined || now.token !== this.#former.token) return true;
    return now.state !== 'alive' && now.state !== 'suspect';
  }
}
