import type { Clock, ContinuousClock, Random } from '@canvasridge/clock';
import { PauseDetector, type SlotTiming, type SwitchedOff } from '@canvasridge/slots';
import type { Telemetry } from '@canvasridge/telemetry';
import type { Cluster } from './cluster.js';
import { LeaderQuorum } from './leader-quorum.js';
import type { PoolEntry } from './pool-entry.js';
import { isSoleLeader } from './sole-leader.js';

/** What the operator's settings say of fences. */
export interface EngineFences {
  /** Whether engines refuse an order whose fence is lower than one that they saw. */
  readonly checked: boolean;
  /** Time without trouble after which a node counts as calm, in milliseconds. */
  readonly settledAfterMs: number;
}

export interface OrderPermissionOptions {
  /** For waiting until rights of others have ended. */
  readonly clock: Clock;
  /** For rights of this node. */
  readonly fleetClock: ContinuousClock;
  readonly random: Random;
  readonly cluster: Cluster;
  readonly timing: SlotTiming;
  readonly engineFences: EngineFences;
  /** Parts of the policy that are switched off, for measurements. */
  readonly switchedOff: SwitchedOff;
  readonly telemetry: Telemetry;
  /** What this node knew of engines may be wrong, since it was paused or out of sight. */
  readonly onDoubt: (reason: string) => void;
  /** The machine was suspended, or so it seems: what this node holds has to be confirmed. */
  readonly onSuspended: () => void;
}

/**
 * A leader gives orders for so long after it asked most others and got answers. A leader that is cut off is believed dead by
 * the others 1.3 s later at the earliest (a probe and the suspicion), and the next one leads 0.15 s after that.
 */
const QUORUM_AGE_MS = 1500;
/**
 * A new leader takes no engine for so long, as the one before may still give orders until its quorum is too old, and one of them may
 * be on its way: 1.5 s and 0.6 s after the cut, where this node leads after 1.45 s at the earliest.
 */
export const HANDOVER_MS = 1000;
/**
 * A node that may be cut off takes no engine for so long after it saw orders of a leader on the other side: cuts of a node
 * or a zone last minutes at times, and engines may stand idle for long.
 */
const OTHER_LEADER_MS = 30_000;
/**
 * Orders of a leader that was lost together with most others show for so long after that was noticed: the period and
 * the lag of reports. (It was lost more than a second before.)
 */
const LAST_ORDERS_SHOWN_MS = 1000;

/**
 * Whether this node may give orders and become holder of engines, as far as that is a matter of the other nodes. Each belief
 * behind the answer has an age: two nodes that believe for longer than the other one waits both give orders.
 */
export class OrderPermission {
  readonly #options: OrderPermissionOptions;
  readonly #quorum: LeaderQuorum;
  readonly #pauses: PauseDetector;
  readonly #startedMs: number;
  #seesMost = false;
  #resigned = false;
  #suspendedMs: number;
  /** When this node was last paused or out of sight of the others, so that it may have missed a change. */
  #unsureSinceMs = -Infinity;

  constructor(options: OrderPermissionOptions) {
    this.#options = options;
    const { clock, fleetClock, random, cluster, timing, telemetry, onDoubt } = options;
    this.#startedMs = clock.now();
    this.#suspendedMs = fleetClock.suspendedMs;
    this.#quorum = new LeaderQuorum({
      clock: fleetClock,
      random,
      members: () => cluster.recentMembers(),
      ask: (members, timeoutMs) => cluster.inReach(members, timeoutMs),
      onBackInReach: (members) => cluster.catchUpWith(members),
    });
    this.#pauses = new PauseDetector(clock, timing.leaseMs / 3);
    this.#pauses.onPause((pausedMs) => {
      telemetry.event('warn', 'process.paused', 'self', { pausedMs: Math.round(pausedMs) });
      this.#unsureSinceMs = clock.now();
      onDoubt('process was paused');
    });
  }

  /** Notices pauses and what is in sight; to be called a few times a second. */
  update(leads: boolean): void {
    const { clock, cluster, onDoubt } = this.#options;
    this.#pauses.check();
    this.#noticeSuspension();
    cluster.update();
    const seesMost = cluster.seesMost();
    if (seesMost !== this.#seesMost) this.#logSight(seesMost);
    if (!seesMost && this.#seesMost) {
      this.#unsureSinceMs = clock.now();
      onDoubt('out of sight of most nodes');
    }
    this.#seesMost = seesMost;
    if (leads) void this.#quorum.renew();
  }

  /** This node gives no orders any more, as it stops. */
  resign(): void {
    this.#resigned = true;
  }

  /** Whether a node that leads may give orders now; asked before each. */
  mayOrder(): boolean {
    if (this.#resigned || !this.#seesMost || this.#pauses.check() || this.#noticeSuspension()) return false;
    return this.#quorum.ageMs <= QUORUM_AGE_MS;
  }

  /**
   * Whether an engine that stood still for a lease can be taken. For {@link HANDOVER_MS} the leader before may still give
   * orders. A node that forgot most others may be cut off from them: orders that it did not give show their leader, and one
   * that sees nobody is more likely cut off than the last one left.
   */
  mayTake({ leadingSinceMs, foreignOrdersMs }: PoolEntry): boolean {
    const { clock, cluster } = this.#options;
    const nowMs = clock.now();
    if (nowMs - leadingSinceMs < HANDOVER_MS) return false;
    if (cluster.aloneMs !== undefined && cluster.aloneMs < OTHER_LEADER_MS) return false;
    return !cluster.isRemainder || nowMs - foreignOrdersMs >= OTHER_LEADER_MS;
  }

  /** Reports show orders of another node. Those of the leader before can show for a while after it was lost. */
  noteForeignOrders(entry: PoolEntry): void {
    const nowMs = this.#options.clock.now();
    const isAfterLoss = !this.#seesMost && nowMs - this.#unsureSinceMs > LAST_ORDERS_SHOWN_MS;
    if (isAfterLoss || this.#options.cluster.isRemainder) entry.foreignOrdersMs = nowMs;
  }

  /** Whether an engine that never took an order can be taken at once, as no other node can lead. */
  mayTakeUnused({ leading, leadingSinceMs }: PoolEntry): boolean {
    const { clock, timing, cluster } = this.#options;
    const standing = { leadingSinceMs, unsureSinceMs: this.#unsureSinceMs, seesAll: cluster.seesAll() };
    return leading && isSoleLeader(standing, clock.now(), timing.leaseMs + timing.leaseMarginMs);
  }

  /**
   * Whether engines can be taken without waiting for a lease: they refuse lower fences, and no holder before
   * this node can still be calm and in reach. A process that has just started is not, so what it does itself
   * can't collide with one that is.
   */
  mayTakeAtOnce({ leading, former }: PoolEntry): boolean {
    const { clock, engineFences, switchedOff } = this.#options;
    const isAllowed = engineFences.checked && !switchedOff.has('take-at-once');
    if (!isAllowed || !leading) return false;
    const nowMs = clock.now();
    if (nowMs - this.#startedMs < engineFences.settledAfterMs) return true;
    return nowMs - this.#unsureSinceMs > engineFences.settledAfterMs && former.isGone();
  }

  /**
   * Looks whether the machine was suspended. A time of day that was set may look the same, so what this node holds is not given
   * up: it orders again once most others have answered, it has learnt what it missed, and each engine shows the count it expects.
   */
  #noticeSuspension(): boolean {
    const { clock, fleetClock, telemetry, onSuspended } = this.#options;
    const { suspendedMs } = fleetClock;
    const newMs = suspendedMs - this.#suspendedMs;
    if (newMs === 0) return false;
    this.#suspendedMs = suspendedMs;
    telemetry.event('warn', 'process.suspended', 'self', { suspendedMs: Math.round(newMs) });
    this.#unsureSinceMs = clock.now();
    this.#quorum.doubt();
    onSuspended();
    return true;
  }

  /** With `pool.leader` this tells which node could give orders when. */
  #logSight(seesMost: boolean): void {
    const { cluster, telemetry } = this.#options;
    telemetry.event(seesMost ? 'info' : 'warn', 'peers.sight', cluster.selfId, {
      seesMost,
      ...cluster.sightFigures,
    });
  }
}
