import type { Clock } from '@canvasridge/clock';
import type { Telemetry } from '@canvasridge/telemetry';

/** A member's claim to lead a pool. */
export interface PoolClaim {
  readonly memberId: string;
  /** The claim with the highest epoch wins; ties go to the smaller member id. */
  readonly epoch: number;
}

/** Membership information that the leader election needs. */
export interface LeadershipPeers {
  readonly selfId: string;
  /** Members that may lead, in order of preference. Includes this node unless it is stopping. */
  candidates(pool: string): readonly string[];
  /** Claims of members that are alive. */
  claims(pool: string): readonly PoolClaim[];
  /** Publishes this node's claim, or withdraws it if the epoch is undefined. */
  publishClaim(pool: string, epoch: number | undefined): void;
  /** Asks a few members for claims and other records that this node may have missed. */
  askForMissedRecords(): void;
  /** Whether this node sees a majority of the members it saw recently. */
  seesMost(): boolean;
}

/** How long the first candidate waits without seeing a claim before it claims, and how much longer each further one waits. */
const CLAIM_DELAY_MS = 150;
const CLAIM_DELAY_PER_RANK_MS = 600;
/** How long a node without a leader waits at most before it asks for claims that it may have missed. */
const ASK_AFTER_MS = 2500;
const SECOND_MS = 1000;

/**
 * Elects the node that grants the slots of one pool. A claim holds as long as its member is alive, so a returning node
 * does not take the pool back. Two nodes can consider themselves leader for a moment, or for longer during a network
 * partition. {@link OrderLease} therefore checks before each order that its node may give orders.
 */
export class PoolLeadership {
  readonly #pool: string;
  readonly #peers: LeadershipPeers;
  readonly #clock: Clock;
  readonly #telemetry: Telemetry;
  #ownEpoch: number | undefined;
  #highestEpoch = 0;
  #unclaimedSinceMs: number | undefined;
  #askedMs = -Infinity;
  #leader: string | undefined;

  constructor(pool: string, peers: LeadershipPeers, clock: Clock, telemetry: Telemetry) {
    this.#pool = pool;
    this.#peers = peers;
    this.#clock = clock;
    this.#telemetry = telemetry;
  }

  /** Id of the current leader, if one is known. */
  get leader(): string | undefined {
    return this.#leader;
  }

  /** Highest epoch of any claim seen so far. Rises with each change of leader. */
  get term(): number {
    return this.#highestEpoch;
  }

  get isLeader(): boolean {
    return this.#leader === this.#peers.selfId;
  }

  /** Evaluates the current claims. Must be called a few times a second. Returns whether the leader changed. */
  update(): boolean {
    const winner = this.#winningClaim();
    if (this.#ownEpoch !== undefined && winner?.memberId !== this.#peers.selfId) this.#withdraw();
    if (winner === undefined) this.#claimAfterDelay();
    else this.#unclaimedSinceMs = undefined;
    return this.#setLeader(this.#ownEpoch === undefined ? winner?.memberId : this.#peers.selfId);
  }

  /** Withdraws this node's claim, as on a planned stop. The node then follows the next leader. */
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
    // Nodes may rank candidates differently for a while, so lower-ranked ones also claim if nobody else does.
    const rank = this.#peers.candidates(this.#pool).indexOf(this.#peers.selfId);
    if (rank === -1 || !this.#peers.seesMost()) {
      this.#unclaimedSinceMs = undefined;
      return;
    }
    this.#unclaimedSinceMs ??= nowMs;
    const waitMs = CLAIM_DELAY_MS + rank * CLAIM_DELAY_PER_RANK_MS;
    this.#askForMissedClaims(this.#unclaimedSinceMs, waitMs, nowMs);
    if (nowMs - this.#unclaimedSinceMs < waitMs) return;
    // Wall clocks differ between machines and can jump, so an epoch is always higher than any seen. The wall time
    // matters after all nodes were lost and no epoch is remembered: without it the next leader's fences could be lower.
    this.#highestEpoch = Math.max(this.#highestEpoch + 1, Math.floor(this.#clock.wallTime() / SECOND_MS));
    this.#ownEpoch = this.#highestEpoch;
    this.#peers.publishClaim(this.#pool, this.#ownEpoch);
  }

  /** A node that missed the leader's claim would otherwise replace it, and its own clients have no leader meanwhile. */
  #askForMissedClaims(unclaimedSinceMs: number, waitMs: number, nowMs: number): void {
    const askAfterMs = Math.min(waitMs / 2, ASK_AFTER_MS);
    const lastMs = Math.max(this.#askedMs, unclaimedSinceMs);
    if (nowMs - lastMs < askAfterMs) return;
    this.#askedMs = nowMs;
    this.#peers.askForMissedRecords();
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
