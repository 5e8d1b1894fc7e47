import { Notifier, type Clock, type ContinuousClock, type Random } from '@canvasridge/clock';
import type { BackendDescription, FleetState } from '@canvasridge/serving';
import {
  AdapterMemory,
  type PoolFigures,
  PoolLeadership,
  SlotPool,
  type EngineControl,
  type OrderHolder,
  type SlotDecision,
  type SlotRequest,
  type SlotTiming,
  type DisabledMechanisms,
  type StreamProgress,
  type UseOutcome,
} from '@canvasridge/slots';
import type { Telemetry } from '@canvasridge/telemetry';
import type { BackendAvailability } from '../backends/backend-availability.js';
import { rateLimitRule, type BackendRateLimits } from '../backends/backend-rate-limits.js';
import type { SlotSource } from '../backends/slot-picker.js';
import type { Cluster } from './cluster.js';
import { FormerLeader, type LeaderLiveness } from './former-leader.js';
import { HANDOVER_MS, OrderPermission, type EngineFences } from './order-permission.js';
import { OwnUses } from './own-uses.js';
import type { PoolEntry } from './pool-entry.js';
import { RateLimitReporter } from './rate-limit-reporter.js';
import { RemoteSlots, type LeaderConnection, type LeaderNetwork } from './remote-slots.js';
import { SlotAnswers } from './slot-answers.js';
import {
  RATE_LIMIT_METHOD,
  RELEASE_METHOD,
  STARTED_METHOD,
  USES_METHOD,
  cancelledDecision,
  type RateLimitParams,
  type ReleaseParams,
  type StartedParams,
  type UsesParams,
} from './slot-protocol.js';

/**
 * Period in which a node checks members and leadership claims if it leads a pool, is next to lead one, knows
 * of a pool without a leader, or knows no pool yet.
 */
const TICK_MS = 100;
/**
 * The same period for all other nodes, which changes wake up earlier: in a fleet of hundreds nearly all nodes
 * have nothing to do with slots, and on a weak machine frequent wake-ups take most of the CPU time.
 */
const IDLE_TICK_MS = 400;
/**
 * Starts of responses within this time are reported in one message: each message costs both nodes CPU time.
 */
const STARTED_BATCH_MS = 12;
const MAX_LEADERS_ASKED = 3;
/**
 * A leader that sent something within this time counts as reachable: under load it sends several messages in
 * it.
 */
const RECEIVED_RECENTLY_MS = 600;
/**
 * Time within which a pool without a leader nearly always gets the next one: the first candidate claims it
 * after 150 ms, and gossip brings that to all nodes within two periods; after a loss of all nodes, the
 * candidates return one after the other.
 */
const ELECTION_MS = 800;
/** A request older than this fraction of its objective can no longer start in time. */
const LATEST_START_SHARE = 0.7;
/**
 * For this long after its start a node observes a pool if it is among the first few candidates, as any of
 * them may soon have to lead.
 */
const STARTUP_MS = 8000;
const STARTUP_OBSERVERS = 3;
/**
 * Until a node has known others for this long, it may rank itself among the first candidates, as every node
 * of a fleet that starts together does.
 */
const RANKING_SETTLE_MS = 150;
/** A node that meets no other node within this time after its start observes pools anyway. */
const NO_PEERS_AFTER_MS = 1000;

/**
 * Leads the pools for which this node is elected, and requests slots of all other pools from the nodes that
 * lead them.
 */
export class SlotService implements SlotSource {
  readonly #options: SlotServiceOptions;
  readonly #pools = new Map<string, PoolEntry>();
  readonly #remoteSlots: RemoteSlots;
  readonly #uses: OwnUses;
  readonly #rateLimitReporter: RateLimitReporter;
  /** Handles requests of other nodes that consider this one the leader of a pool. */
  readonly answers: SlotAnswers;
  readonly #memory = new AdapterMemory();
  readonly #leaderChanged = new Notifier();
  readonly #permission: OrderPermission;
  /** By pool: requests whose responses have started, which has not been reported to the leader yet. */
  readonly #unreportedStarts = new Map<string, string[]>();
  readonly #startedMs: number;
  #stopped = false;
  #resigned = false;

  constructor(options: SlotServiceOptions) {
    this.#options = options;
    this.#remoteSlots = new RemoteSlots(options.clock, options.network, (address) =>
      options.cluster.checkPeer(address),
    );
    this.#uses = new OwnUses(options.clock);
    this.#rateLimitReporter = new RateLimitReporter({
      rateLimits: options.rateLimits,
      tell: (backendId, perSecond) => this.#reportRateLimit(backendId, perSecond),
    });
    const { fleet, cluster } = options;
    this.answers = new SlotAnswers({ fleet, cluster, pools: this.#pools });
    this.#permission = new OrderPermission({
      ...options,
      onStateUncertain: (reason) => {
        for (const entry of this.#pools.values()) entry.pool?.resetLeases(reason);
      },
      onSuspended: () => {
        for (const entry of this.#pools.values()) entry.pool?.settleLeases();
      },
    });
    this.#startedMs = options.clock.now();
    options.fleet.onChange((change) => this.#fleetChanged(change));
  }

  start(): void {
    void this.#run();
  }

  /** Gives up all pools and leads no other one; slots can still be requested. */
  resign(): void {
    this.#resigned = true;
    this.#permission.resign();
    for (const entry of this.#pools.values()) {
      entry.leadership.resign();
      this.#endRole(entry);
    }
  }

  stop(): void {
    this.#stopped = true;
  }

  /** Whether this node leads a pool, or observes one because it may have to lead it. */
  get hasPoolRole(): boolean {
    for (const { pool } of this.#pools.values()) if (pool !== undefined) return true;
    return false;
  }

  /** Ids of the nodes that lead pools, as far as this node knows. */
  leaders(): ReadonlySet<string> {
    const leaders = [...this.#pools.values()].map(({ leadership }) => leadership.leader);
    return new Set(leaders.filter((leader) => leader !== undefined));
  }

  /** Statistics of the pools that this node leads. */
  describe(): (PoolFigures & { pool: string })[] {
    const rows = [];
    for (const [pool, entry] of this.#pools)
      if (entry.pool !== undefined && entry.leading) rows.push({ pool, ...entry.pool.describe() });
    return rows;
  }

  // --- requesting slots --------------------------------------------------------------------------

  /** Requests a slot from the leader, and from the next leader if that one is giving up the pool. */
  async acquire(
    poolName: string,
    request: SlotRequest,
    cancelled: AbortSignal,
  ): Promise<SlotDecision | undefined> {
    const { clock } = this.#options;
    const askedMs = clock.now();
    for (let asked = 1; ; asked += 1) {
      const aged = { ...request, ageMs: request.ageMs + clock.now() - askedMs };
      const decision = await this.#acquireOnce(poolName, aged, cancelled);
      if (decision?.kind === 'granted') {
        this.#uses.begin(poolName, request, decision.backendId);
        this.#rateLimitReporter.onGranted(decision);
      }
      const isStopping = decision?.kind === 'refused' && decision.reason === 'stopping';
      if (!isStopping || cancelled.aborted || asked === MAX_LEADERS_ASKED) return decision;
      await clock.sleep(TICK_MS);
    }
  }

  async #acquireOnce(
    poolName: string,
    request: SlotRequest,
    cancelled: AbortSignal,
  ): Promise<SlotDecision | undefined> {
    const entry = this.#entry(poolName);
    const leader = await this.#awaitLeader(entry, request);
    if (cancelled.aborted) return cancelledDecision(request.id);
    if (leader === undefined) return undefined;
    if (entry.pool !== undefined && entry.leading) return this.#acquireHere(entry.pool, request, cancelled);
    const address = this.#options.cluster.peerAddress(leader);
    return address === undefined
      ? undefined
      : this.#remoteSlots.acquire(address, poolName, request, cancelled);
  }

  /**
   * The leader, or undefined if none is found within the duration of an election or in time for the request.
   */
  async #awaitLeader(entry: PoolEntry, request: SlotRequest): Promise<string | undefined> {
    const { clock } = this.#options;
    const leftMs = request.objectiveMs * LATEST_START_SHARE - request.ageMs;
    const untilMs = clock.now() + Math.min(leftMs, ELECTION_MS);
    while (entry.leadership.leader === undefined && clock.now() < untilMs) {
      await this.#leaderChanged.waitUpTo(clock, untilMs - clock.now());
    }
    return entry.leadership.leader;
  }

  /**
   * Called when an engine's response to this node announced a rate limit, in requests per second, or with
   * undefined if it no longer announces one.
   */
  onRateLimitAnnounced(backendId: string, perSecond: number | undefined): void {
    this.#rateLimitReporter.onLimitAnnounced(backendId, perSecond);
  }

  #reportRateLimit(backendId: string, perSecond: number | null): void {
    const pool = this.#options.fleet.backend(backendId)?.service;
    const entry = pool === undefined ? undefined : this.#pools.get(pool);
    if (pool === undefined || entry === undefined) return;
    if (entry.leading) {
      entry.pool?.setRateLimit(backendId, perSecond === null ? undefined : rateLimitRule(perSecond));
      return;
    }
    const params: RateLimitParams = { pool, backendId, perSecond };
    this.#leaderConnection(pool)?.notify(RATE_LIMIT_METHOD, params);
  }

  startedWithoutGrant(poolName: string, request: SlotRequest, backendId: string): void {
    this.#uses.begin(poolName, request, backendId);
  }

  started(poolName: string, requestId: string): void {
    this.#uses.started(requestId);
    const entry = this.#pools.get(poolName);
    if (entry?.pool !== undefined && entry.leading) {
      entry.pool.started(requestId);
      return;
    }
    const unreported = this.#unreportedStarts.get(poolName);
    if (unreported !== undefined) {
      unreported.push(requestId);
      return;
    }
    this.#unreportedStarts.set(poolName, [requestId]);
    this.#options.clock.setTimer(STARTED_BATCH_MS, () => this.#reportStarted(poolName));
  }

  #reportStarted(poolName: string): void {
    const requestIds = this.#unreportedStarts.get(poolName) ?? [];
    this.#unreportedStarts.delete(poolName);
    const params: StartedParams = { pool: poolName, requestIds };
    this.#leaderConnection(poolName)?.notify(STARTED_METHOD, params);
  }

  /** The connection to a pool's leader, if the leader is known and is another node. */
  #leaderConnection(poolName: string): LeaderConnection | undefined {
    const leader = this.#pools.get(poolName)?.leadership.leader;
    const address = leader === undefined ? undefined : this.#options.cluster.peerAddress(leader);
    return address === undefined ? undefined : this.#options.network.to(address);
  }

  release(poolName: string, requestId: string, outcome: UseOutcome, progress?: StreamProgress): void {
    const backendId = this.#uses.end(requestId);
    const entry = this.#pools.get(poolName);
    if (entry?.pool !== undefined && entry.leading) {
      entry.pool.release(requestId, outcome, progress);
      return;
    }
    const { fleet } = this.#options;
    const isNews =
      backendId !== undefined &&
      fleet.hasAnnouncedShutdown(backendId) &&
      fleet.leavingBackendsListedReady(poolName).includes(backendId);
    // Without this the leader keeps ordering adapters onto that engine for other nodes until each of them has
    // been told.
    const leaving = isNews ? { leaving: backendId } : {};
    const params: ReleaseParams = { pool: poolName, requestId, outcome, progress, ...leaving };
    this.#leaderConnection(poolName)?.notify(RELEASE_METHOD, params);
  }

  #acquireHere(pool: SlotPool, request: SlotRequest, cancelled: AbortSignal): Promise<SlotDecision> {
    return new Promise((resolve) => {
      const onCancel = (): void => {
        pool.cancel(request.id);
        resolve(cancelledDecision(request.id));
      };
      cancelled.addEventListener('abort', onCancel, { once: true });
      pool.acquire(request, (decision) => {
        cancelled.removeEventListener('abort', onCancel);
        resolve(decision);
      });
    });
  }

  /** Handles the decision of another leader about a request that was queued there. */
  onDecided(decision: SlotDecision): void {
    this.#remoteSlots.onDecided(decision);
  }

  // --- leading pools -----------------------------------------------------------------------------

  async #run(): Promise<void> {
    const { clock, cluster } = this.#options;
    while (!this.#stopped) {
      const { changes } = cluster;
      this.#tick();
      await clock.sleep(TICK_MS);
      const isIdle = cluster.changes === changes && !this.#needsFrequentTicks();
      if (isIdle) await cluster.changed.waitUpTo(clock, IDLE_TICK_MS - TICK_MS);
    }
  }

  /** Whether this node leads or observes a pool, knows of a pool without a leader, or knows no pool yet. */
  #needsFrequentTicks(): boolean {
    const hasLeaders = [...this.#pools.values()].every(({ leadership }) => leadership.leader !== undefined);
    return this.hasPoolRole || !hasLeaders || this.#pools.size === 0;
  }

  #tick(): void {
    const { fleet } = this.#options;
    this.#permission.update(this.#leads());
    for (const service of fleet.routes?.configuration.services ?? []) {
      if (service.engine === undefined) continue;
      const entry = this.#entry(service.name);
      if (entry.leadership.update()) this.#onLeaderChanged(service.name, entry);
      this.#updateRole(entry, service.name);
    }
  }

  #leads(): boolean {
    for (const { leading } of this.#pools.values()) if (leading) return true;
    return false;
  }

  #onLeaderChanged(pool: string, entry: PoolEntry): void {
    const { leader } = entry.leadership;
    entry.formerLeader.recordLeader(leader);
    this.#rateLimitReporter.leaderChanged();
    this.#reportUses(pool, entry);
    this.#remoteSlots.leaderChanged(
      pool,
      leader === undefined ? undefined : this.#options.cluster.peerAddress(leader),
    );
    this.#leaderChanged.notify();
  }

  #leaderLiveness(): LeaderLiveness {
    const { cluster, network } = this.#options;
    return {
      selfId: cluster.selfId,
      processOf: (id) => cluster.processOf(id),
      receivedRecently: (id) => {
        const address = cluster.peerAddress(id);
        return address !== undefined && network.receivedWithin(address, RECEIVED_RECENTLY_MS);
      },
    };
  }

  /** Reports to a new leader of a pool, if that is another node, what this node runs on the engines. */
  #reportUses(pool: string, entry: PoolEntry): void {
    if (entry.leadership.isLeader || this.#options.switchedOff.has('told-uses')) return;
    const params: UsesParams = { pool, member: this.#options.cluster.selfId, uses: this.#uses.of(pool) };
    this.#leaderConnection(pool)?.notify(USES_METHOD, params);
  }

  #entry(pool: string): PoolEntry {
    let entry = this.#pools.get(pool);
    if (entry === undefined) {
      const { cluster, clock, telemetry } = this.#options;
      entry = {
        leadership: new PoolLeadership(pool, cluster, clock, telemetry),
        formerLeader: new FormerLeader(this.#leaderLiveness()),
        reportedMembers: new Set(),
        pool: undefined,
        leading: false,
        leadingSinceMs: 0,
        foreignOrdersMs: -Infinity,
      };
      this.#pools.set(pool, entry);
    }
    return entry;
  }

  /** Starts, keeps or ends this node's role in a pool, as leader or observer. */
  #updateRole(entry: PoolEntry, name: string): void {
    const leads = entry.leadership.isLeader;
    if (entry.leading && !leads) this.#endRole(entry);
    const observes = leads || this.#observes(name);
    if (!observes) {
      if (entry.pool !== undefined) this.#endRole(entry);
      return;
    }
    entry.pool ??= this.#newPool(name, entry);
    if (!leads || entry.leading) return;
    entry.leading = true;
    entry.leadingSinceMs = this.#options.clock.now();
    entry.pool.startLeading();
    for (const { backendId, rule } of this.#options.rateLimits.all())
      entry.pool.setRateLimit(backendId, rule);
    this.#options.clock.setTimer(HANDOVER_MS, () => entry.pool?.wakeLeases());
    for (const use of this.#uses.of(name)) entry.pool.adoptUse(use);
    this.answers.checkUsesKnown(entry);
  }

  #endRole(entry: PoolEntry): void {
    entry.leading = false;
    entry.reportedMembers.clear();
    entry.pool?.close();
    entry.pool = undefined;
  }

  /** Whether this node is next to lead, or started so recently that it may be. */
  #observes(name: string): boolean {
    const { cluster, clock } = this.#options;
    if (this.#resigned) return false;
    const leader = this.#pools.get(name)?.leadership.leader;
    const followers = cluster.candidates(name).filter((id) => id !== leader);
    const ageMs = clock.now() - this.#startedMs;
    const isStartingUp = ageMs < STARTUP_MS;
    if (isStartingUp && cluster.sinceFirstPeerMs < RANKING_SETTLE_MS && ageMs < NO_PEERS_AFTER_MS)
      return false;
    return followers.slice(0, isStartingUp ? STARTUP_OBSERVERS : 1).includes(cluster.selfId);
  }

  #newPool(name: string, entry: PoolEntry): SlotPool {
    const { clock, fleetClock, control, timing, holder, telemetry, fleet } = this.#options;
    const permission = this.#permission;
    const pool = new SlotPool({
      service: name,
      clock,
      fleetClock,
      control,
      timing,
      holder,
      telemetry,
      mayOrder: () => entry.leading && permission.mayOrder(),
      term: () => entry.leadership.term,
      mayObserve: () => !this.#resigned,
      mayTakeAfterLease: () => permission.mayTakeAfterLease(entry),
      onForeignOrders: () => permission.recordForeignOrders(entry),
      mayTakeUnused: () => permission.mayTakeUnused(entry),
      mayTakeAtOnce: () => permission.mayTakeAtOnce(entry),
      memory: this.#memory,
      isBackingOff: (id) => this.#options.availability.isBackingOff(id),
      disabled: this.#options.switchedOff,
      adapterVersion: (model, adapter) => fleet.adapterVersion(model, adapter),
      tenantWeight: (tenant) => fleet.routes?.tenants?.named(tenant)?.quota?.ratePerSecond ?? 1,
    });
    this.#setEngines(name, pool);
    return pool;
  }

  #fleetChanged(change: string): void {
    if (change === 'backends') {
      this.#memory.observe(this.#listedBackends());
      this.#rateLimitReporter.retain((id) => this.#options.fleet.backend(id) !== undefined);
    }
    for (const [name, { pool }] of this.#pools) {
      if (pool === undefined) continue;
      if (change === 'adapter-version') pool.schedule();
      else this.#setEngines(name, pool);
    }
  }

  *#listedBackends(): Iterable<BackendDescription> {
    for (const { value } of this.#options.fleet.allBackends()) yield value;
  }

  #setEngines(name: string, pool: SlotPool): void {
    const { fleet } = this.#options;
    const profile = fleet.routes?.service(name)?.engine;
    if (profile !== undefined) pool.setEngines(fleet.backendsOf(name), profile);
  }
}

/** Persistent connections to other nodes, and when something was last received over them. */
export interface SlotNetwork extends LeaderNetwork {
  /** Whether the connection to a node is open and received something within this time. */
  receivedWithin(address: string, spanMs: number): boolean;
}

export interface SlotServiceOptions {
  readonly clock: Clock;
  /** Also advances while the machine is suspended. */
  readonly fleetClock: ContinuousClock;
  readonly random: Random;
  readonly fleet: FleetState;
  readonly cluster: Cluster;
  readonly network: SlotNetwork;
  readonly control: EngineControl;
  readonly availability: Pick<BackendAvailability, 'isBackingOff'>;
  readonly rateLimits: Pick<BackendRateLimits, 'perSecond' | 'all'>;
  readonly timing: SlotTiming;
  readonly holder: OrderHolder;
  readonly engineFences: EngineFences;
  /** Mechanisms of the scheduling policy that are disabled, for measurements. */
  readonly switchedOff: DisabledMechanisms;
  readonly telemetry: Telemetry;
}
