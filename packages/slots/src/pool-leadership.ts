import type { Clock } from '@canvasridge/clock';
import type { Telemetry } from '@canvasridge/telemetry';

/** A member's claim to lead a pool. */
export interface PoolClaim {
  readonly memberId: string;
  /** Of two claims the one with the higher epoch rules, then the smaller id. */
  readonly epoch: number;
}

/** What the election needs of the membership. */
export interface LeadershipPeers {
  readonly selfId: string;
  /** Members that may lead, this node included unless it is stopping; the preferred one first. */
  candidates(pool: string): readonly string[];
  /** Claims of members that are present. */
  claims(pool: string): readonly PoolClaim[];
  /** Publishes this node's claim, or withdraws it. */
  publishClaim(pool: string, epoch: number | undefined): void;
  seesMost(): boolean;
}

/** How long the first candidate sees no claim before it claims, and how much longer each one after it. */
const CLAIM_DELAY_MS = 150;
const CLAIM_DELAY_PER_RANK_MS = 600;
const SECOND_MS = 1000;

/**
 * Chooses the node that hands out the slots of one pool. A claim stands as long as its member is present, so
 * nodes that come back do not take a pool away. There can be two leaders for a moment, and for longer on two
 * sides of a cut: who may give orders is asked anew for each, see {@link OrderLease}.
 */
export class PoolLeadership {
  readonly #pool: string;
  readonly #peers: LeadershipPeers;
  readonly #clock: Clock;
  readonly #telemetry: Telemetry;
  #ownEpoch: number | undefined;
  #highestEpoch = 0;
  #unclaimedSinceMs: number | undefined;
  #leader: string | undefined;

  constructor(pool: string, peers: LeadershipPeers, clock: Clock, telemetry: Telemetry) {
    this.#pool = pool;
    this.#peers = peers;
    this.#clock = clock;
    this.#telemetry = telemetry;
  }

  /** The member to ask for slots, if one is known. */
  get leader(): string | undefined {
    return this.#leader;
  }

  /** Highest epoch of any claim seen so far: rises with each change of the leader. */
  get term(): number {
    return this.#highestEpoch;
  }

  get isLeader(): boolean {
    return this.#leader === this.#peers.selfId;
  }

  /** Looks at the claims; to be called a few times a second. Returns whether the leader changed. */
  update(): boolean {
    const winner = this.#winningClaim();
    if (this.#ownEpoch !== undefined && winner?.memberId !== this.#peers.selfId) this.#withdraw();
    if (winner === undefined) this.#claimAfterDelay();
    else this.#unclaimedSinceMs = undefined;
    return this.#setLeader(this.#ownEpoch === undefined ? winner?.memberId : this.#peers.selfId);
  }

  /** Gives the pool up, as on a planned stop; the next leader is followed. */
  resign(): void {
    if (this.#ownEpoch === undefined) return;
    this.#withdraw();
    this.#setLeader(undefined);
  }

  #winningClaim(): PoolClaim | undefined {
    const claims = [...this.#peers.claims(this.#pool)];
    for (const claim of claims) this.#highestEpoch = Math.max(this.#highestEpoch, claim.epoch);
    if (this.#ownEpoch !== undefined) claims.push({ memberId: this.#peers.selfId, epoch: this.#ownEpoch });
    return claims.reduce<PoolClaim | undefined>((best, claim) => {
      if (best === undefined || claim.epoch > best.epoch) return claim;
      return claim.epoch === best.epoch && claim.memberId < best.memberId ? claim : best;
    }, undefined);
  }

  #claimAfterDelay(): void {
    const nowMs = this.#clock.now();
    // Nodes may rank candidates differently for a while, so the later ones claim too when nobody does.
    const rank = this.#peers.candidates(this.#pool).indexOf(this.#peers.selfId);
    if (rank === -1 || !this.#peers.seesMost()) {
      this.#unclaimedSinceMs = undefined;
      return;
    }
    this.#unclaimedSinceMs ??= nowMs;
    if (nowMs - this.#unclaimedSinceMs < CLAIM_DELAY_MS + rank * CLAIM_DELAY_PER_RANK_MS) return;
    // Clocks of machines differ and jump, so an epoch counts on from what was seen. The time takes the place of
    // what nobody remembers after a loss of all: without it the next leader's fences can be lower.
    this.#highestEpoch = Math.max(this.#highestEpoch + 1, Math.floor(this.#clock.wallTime() / SECOND_MS));
    this.#ownEpoch = this.#highestEpoch;
    this.#peers.publishClaim(this.#pool, this.#ownEpoch);
  }

  #withdraw(): void {
    this.#ownEpoch = undefined;
    this.#peers.publishClaim(this.#pool, undefined);
  }

  #setLeader(leader: string | undefined): boolean {
    if (leader === this.#leader) return false;
    this.#telemetry.event('info', 'pool.leader', this.#pool, {
      leader: leader ?? 'none',
      before: this.#leader ?? 'none',
      term: this.#highestEpoch,
    });
    this.#leader = leader;
    return true;
  }
}
