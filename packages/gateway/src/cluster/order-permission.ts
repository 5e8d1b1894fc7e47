import type { Clock, ContinuousClock, Random } from '@canvasridge/clock';
import { PauseDetector, type SlotTiming, type DisabledMechanisms } from '@canvasridge/slots';
import { runInBackground, type Telemetry } from '@canvasridge/telemetry';
import type { Cluster } from './cluster.js';
import { LeaderQuorum } from './leader-quorum.js';
import type { PoolEntry } from './pool-entry.js';
import { isSoleLeader } from './sole-leader.js';

/** Fencing settings of the engines, from the operator's configuration. */
export interface EngineFences {
  /** Whether engines refuse an order whose fence (fencing token) is lower than one that they have seen. */
  readonly checked: boolean;
  /**
   * Time in milliseconds after which a node counts as settled: it was neither paused nor out of contact with
   * most others for so long.
   */
  readonly settledAfterMs: number;
}

export interface OrderPermissionOptions {
  /** Measures how long to wait until the rights of other nodes have expired. */
  readonly clock: Clock;
  /** Measures how long this node's own rights last; also advances while the machine is suspended. */
  readonly fleetClock: ContinuousClock;
  readonly random: Random;
  readonly cluster: Cluster;
  readonly timing: SlotTiming;
  readonly engineFences: EngineFences;
  /** Mechanisms of the scheduling policy that are disabled, for measurements. */
  readonly switchedOff: DisabledMechanisms;
  readonly telemetry: Telemetry;
  /** This node was paused or lost contact with most others, so its view of the engines may be out of date. */
  readonly onStateUncertain: (reason: string) => void;
  /** The machine was suspended, or seems to have been: what this node holds must be confirmed. */
  readonly onSuspended: () => void;
}

/**
 * A leader may give orders for this long after it sent a quorum request that a majority answered. The others
 * consider a leader that is cut off dead 1.3 s later at the earliest (a probe and the suspicion timeout), and
 * the next one leads 0.15 s after that.
 */
const MAX_QUORUM_AGE_MS = 1500;
/**
 * For this long a new leader does not become holder of any engine (the node that gives it orders). The
 * previous leader may give orders until its quorum expires, 1.5 s after it was cut off, and an order may be
 * in transit for another 0.6 s, whereas this node leads after 1.45 s at the earliest.
 */
export const HANDOVER_MS = 1000;
/**
 * A node that may be cut off does not become holder of any engine for this long after it saw orders of a
 * leader on the other side of the cut: a node or a zone is sometimes cut off for minutes, and engines may be
 * idle for long.
 */
const OTHER_LEADER_WAIT_MS = 30_000;
/**
 * Reports may still show orders of a leader for this long after its loss, together with that of most other
 * nodes, was noticed: the report period plus the report lag. (The leader was lost more than a second before
 * that.)
 */
const REPORTED_ORDERS_LAG_MS = 1000;

/**
 * Decides whether this node may give orders (to load or unload adapters) to engines, and become holder of
 * engines, that is, the one node that gives them orders, as far as that depends on the other nodes. Every
 * observation behind a decision expires: if two nodes both relied on observations for longer than the other
 * one waits, both would give orders.
 */
export class OrderPermission {
  readonly #options: OrderPermissionOptions;
  readonly #quorum: LeaderQuorum;
  readonly #pauses: PauseDetector;
  readonly #startedMs: number;
  #seesMost = false;
  #resigned = false;
  #suspendedMs: number;
  /**
   * When this node was last paused, suspended or without contact to most others, so that it may have missed a
   * change of leader.
   */
  #lastDisruptionMs = -Infinity;

  constructor(options: OrderPermissionOptions) {
    this.#options = options;
    const { clock, fleetClock, random, cluster, timing, telemetry, onStateUncertain } = options;
    this.#startedMs = clock.now();
    this.#suspendedMs = fleetClock.suspendedMs;
    this.#quorum = new LeaderQuorum({
      clock: fleetClock,
      random,
      members: () => cluster.recentMembers(),
      ask: (members, timeoutMs) => cluster.findReachable(members, timeoutMs),
      onReachableAgain: (members) => cluster.catchUpWith(members),
    });
    this.#pauses = new PauseDetector(clock, timing.leaseMs / 3);
    this.#pauses.onPause((pausedMs) => {
      telemetry.event('warn', 'process.paused', 'self', { pausedMs: Math.round(pausedMs) });
      this.#lastDisruptionMs = clock.now();
      onStateUncertain('process was paused');
    });
  }

  /** Checks for pauses and changes in visibility; call it a few times a second. */
  update(leads: boolean): void {
    const { clock, cluster, telemetry, onStateUncertain } = this.#options;
    this.#pauses.check();
    this.#checkSuspension();
    cluster.update();
    const seesMost = cluster.seesMost();
    if (seesMost !== this.#seesMost) this.#logVisibility(seesMost);
    if (!seesMost && this.#seesMost) {
      this.#lastDisruptionMs = clock.now();
      onStateUncertain('lost contact with most nodes');
    }
    this.#seesMost = seesMost;
    if (leads) runInBackground(telemetry, 'leader-quorum', () => this.#quorum.renew());
  }

  /** Stops giving orders for good, because this node is shutting down. */
  resign(): void {
    this.#resigned = true;
  }

  /** Whether this node may give orders now if it leads; checked before each order. */
  mayOrder(): boolean {
    if (this.#resigned || !this.#seesMost || this.#pauses.check() || this.#checkSuspension()) return false;
    return this.#quorum.ageMs <= MAX_QUORUM_AGE_MS;
  }

  /**
   * Whether this node may become holder of an engine that has received no order for a lease. The previous
   * leader may still give orders for {@link HANDOVER_MS}. A node that no longer counts most others as members
   * may be cut off from them: orders that it did not give reveal a leader on their side, and a node that sees
   * nobody is more likely cut off than the last one running.
   */
  mayTakeAfterLease({ leadingSinceMs, foreignOrdersMs }: PoolEntry): boolean {
    const { clock, cluster } = this.#options;
    const nowMs = clock.now();
    if (nowMs - leadingSinceMs < HANDOVER_MS) return false;
    if (cluster.isolatedMs !== undefined && cluster.isolatedMs < OTHER_LEADER_WAIT_MS) return false;
    return !cluster.mayBeCutOff || nowMs - foreignOrdersMs >= OTHER_LEADER_WAIT_MS;
  }

  /**
   * Records that reports show orders of another node. After the previous leader was lost, its last orders
   * show for a while.
   */
  recordForeignOrders(entry: PoolEntry): void {
    const nowMs = this.#options.clock.now();
    const isAfterLoss = !this.#seesMost && nowMs - this.#lastDisruptionMs > REPORTED_ORDERS_LAG_MS;
    if (isAfterLoss || this.#options.cluster.mayBeCutOff) entry.foreignOrdersMs = nowMs;
  }

  /**
   * Whether this node may become holder of an engine at once if the engine never received an order: true only
   * if no other node can lead.
   */
  mayTakeUnused({ leading, leadingSinceMs }: PoolEntry): boolean {
    const { clock, timing, cluster } = this.#options;
    const state = { leadingSinceMs, lastDisruptionMs: this.#lastDisruptionMs, seesAll: cluster.seesAll() };
    return leading && isSoleLeader(state, clock.now(), timing.leaseMs + timing.leaseMarginMs);
  }

  /**
   * Whether this node may become holder of engines without waiting for a lease: the engines refuse lower
   * fences, and no previous holder can still be settled (see {@link EngineFences.settledAfterMs}) and
   * reachable. A process that has just started is not yet settled, so its own actions can't conflict with a
   * holder that is.
   */
  mayTakeAtOnce({ leading, formerLeader }: PoolEntry): boolean {
    const { clock, engineFences, switchedOff } = this.#options;
    const isAllowed = engineFences.checked && !switchedOff.has('take-at-once');
    if (!isAllowed || !leading) return false;
    const nowMs = clock.now();
    if (nowMs - this.#startedMs < engineFences.settledAfterMs) return true;
    return nowMs - this.#lastDisruptionMs > engineFences.settledAfterMs && formerLeader.isGone();
  }

  /**
   * Checks whether the machine was suspended. A change of the system time may look the same, so this node
   * does not give up what it holds: it gives orders again once a majority has answered, it has caught up on
   * what it missed, and each engine reports the order count that this node expects.
   */
  #checkSuspension(): boolean {
    const { clock, fleetClock, telemetry, onSuspended } = this.#options;
    const { suspendedMs } = fleetClock;
    const newlySuspendedMs = suspendedMs - this.#suspendedMs;
    if (newlySuspendedMs === 0) return false;
    this.#suspendedMs = suspendedMs;
    telemetry.event('warn', 'process.suspended', 'self', { suspendedMs: Math.round(newlySuspendedMs) });
    this.#lastDisruptionMs = clock.now();
    this.#quorum.invalidate();
    onSuspended();
    return true;
  }

  /** Together with `pool.leader` events this shows which node was able to give orders at which time. */
  #logVisibility(seesMost: boolean): void {
    const { cluster, telemetry } = this.#options;
    telemetry.event(seesMost ? 'info' : 'warn', 'peers.sight', cluster.selfId, {
      seesMost,
      ...cluster.visibilityCounts,
    });
  }
}
