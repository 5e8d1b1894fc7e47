import type { Clock, ContinuousClock, Random } from '@canvasridge/clock';
import type { BackendDescription, FleetState, VersionGrace } from '@canvasridge/serving';
import {
  AdapterMemory,
  BackendPool,
  type GrantFigures,
  type GrantingPool,
  PoolLeadership,
  SlotPool,
  type EngineControl,
  type LeadershipPeers,
  type OrderHolder,
  type SlotTiming,
  type DisabledMechanisms,
} from '@canvasridge/slots';
import { keepRunning, type Telemetry } from '@canvasridge/telemetry';
import type { BackendAvailability } from '../backends/backend-availability.js';
import type { BackendRateLimits } from '../backends/backend-rate-limits.js';
import type { RejectionLimits } from '../backends/rejection-limits.js';
import type { BackendPaths } from '../paths/backend-paths.js';
import type { FleetPaths } from '../paths/fleet-paths.js';
import type { PeerConnection } from '../peers/peer-connection.js';
import type { Cluster } from './cluster.js';
import { FormerLeader, type LeaderLiveness } from './former-leader.js';
import { HANDOVER_MS, OrderPermission, type EngineFences } from './order-permission.js';
import type { PoolEntry } from './pool-entry.js';
import type { LeaderNetwork } from './remote-slots.js';
import { SlotAnswers } from './slot-answers.js';
import { USES_METHOD, type UsesParams } from './slot-protocol.js';
import { SlotRequester } from './slot-requester.js';

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
 * A leader that sent something within this time counts as reachable: under load it sends several messages in
 * it.
 */
const RECEIVED_RECENTLY_MS = 600;
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
 * Takes part in the election of the leaders of all pools, and leads those for which this node is elected. Its
 * requester asks the leaders for slots.
 */
export class SlotService {
  readonly #options: SlotServiceOptions;
  readonly #pools = new Map<string, PoolEntry>();
  /** Requests slots for this node. */
  readonly requester: SlotRequester;
  /** Handles requests of other nodes that consider this one the leader of a pool. */
  readonly answers: SlotAnswers;
  readonly #memory = new AdapterMemory();
  readonly #permission: OrderPermission;
  readonly #startedMs: number;
  #stopped = false;
  #resigned = false;

  constructor(options: SlotServiceOptions) {
    this.#options = options;
    this.requester = new SlotRequester({
      ...options,
      pools: this.#pools,
      entry: (pool) => this.#entry(pool),
    });
    this.answers = new SlotAnswers({ ...options, pools: this.#pools });
    this.#permission = new OrderPermission({
      ...options,
      onStateUncertain: (reason) => {
        for (const entry of this.#pools.values()) entry.engines?.resetLeases(reason);
      },
      onSuspended: () => {
        for (const entry of this.#pools.values()) entry.engines?.settleLeases();
      },
    });
    this.#startedMs = options.clock.now();
    options.fleet.onChange((change) => this.#fleetChanged(change));
  }

  start(): void {
    keepRunning(this.#options, 'slot-service', () => this.#run());
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

  /** Whether this node leads or observes a pool of engines, for which it has to know their adapters. */
  get hasEngineRole(): boolean {
    for (const { engines } of this.#pools.values()) if (engines !== undefined) return true;
    return false;
  }

  /**
   * Ids of the nodes that lead pools of engines, as far as this node knows. Losing one stalls all loads of its
   * pool, whereas requests for plain backends are sent without a leader.
   */
  leaders(): ReadonlySet<string> {
    const leaders = new Set<string>();
    for (const [name, { leadership }] of this.#pools)
      if (leadership.leader !== undefined && this.#hasEngines(name)) leaders.add(leadership.leader);
    return leaders;
  }

  #hasEngines(service: string): boolean {
    return this.#options.fleet.routes?.service(service)?.engine !== undefined;
  }

  /** Statistics of the pools that this node leads. */
  describe(): (GrantFigures & { pool: string })[] {
    const rows = [];
    for (const [pool, entry] of this.#pools)
      if (entry.pool !== undefined && entry.leading) rows.push({ pool, ...entry.pool.describe() });
    return rows;
  }

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
      if (service.engine === undefined && !this.requester.isGranted(service.name)) {
        this.#endGranting(service.name);
        continue;
      }
      const entry = this.#entry(service.name);
      this.#handOverIfCutOff(service.name, entry);
      if (entry.leadership.update()) this.#onLeaderChanged(service.name, entry);
      this.#updateRole(entry, service.name);
    }
  }

  /**
   * Gives up a pool of engines that this node can't reach, so that it can give no orders, once another node said
   * that it reaches them. Other leaders grant backends without any path of their own.
   */
  #handOverIfCutOff(service: string, entry: PoolEntry): void {
    const { paths, fleetPaths, cluster, telemetry } = this.#options;
    if (entry.engines === undefined || !entry.leading || paths.state(service) !== 'lost') return;
    if (!fleetPaths.isCutOff(service) || !fleetPaths.isReachedByAnyBut(cluster.selfId, service)) return;
    telemetry.event('info', 'pool.handed-over', service, { term: entry.leadership.term });
    entry.leadership.resign();
    this.#endRole(entry);
    this.#onLeaderChanged(service, entry);
  }

  /** Gives up the pool of a service whose backends each node chooses itself again. */
  #endGranting(service: string): void {
    const entry = this.#pools.get(service);
    if (entry === undefined) return;
    entry.leadership.resign();
    this.#endRole(entry);
    this.#pools.delete(service);
    this.requester.handleLeaderChange(service, undefined);
  }

  /** Whether this node leads a pool of engines, which needs the permission to give orders. */
  #leads(): boolean {
    for (const { leading, engines } of this.#pools.values())
      if (leading && engines !== undefined) return true;
    return false;
  }

  #onLeaderChanged(pool: string, entry: PoolEntry): void {
    const { leader } = entry.leadership;
    entry.formerLeader.recordLeader(leader);
    this.requester.forgetReportedRateLimits();
    this.#reportUses(pool, entry);
    this.requester.handleLeaderChange(pool, leader);
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
    const params: UsesParams = {
      pool,
      member: this.#options.cluster.selfId,
      uses: this.requester.usesOf(pool),
    };
    this.requester.leaderConnection(pool)?.notify(USES_METHOD, params);
  }

  /** The members as candidates: nodes that can't reach the engines of a pool do not lead it. */
  #leadershipPeers(): LeadershipPeers {
    const { cluster } = this.#options;
    return {
      selfId: cluster.selfId,
      candidates: (pool) => this.#candidates(pool),
      claims: (pool) => cluster.claims(pool),
      publishClaim: (pool, epoch) => cluster.publishClaim(pool, epoch),
      askForMissedRecords: () => cluster.askForMissedRecords(),
      seesMost: () => cluster.seesMost(),
    };
  }

  #candidates(pool: string): readonly string[] {
    const { cluster, fleetPaths } = this.#options;
    const candidates = cluster.candidates(pool);
    return this.#hasEngines(pool) ? fleetPaths.reaching(pool, candidates) : candidates;
  }

  #entry(pool: string): PoolEntry {
    let entry = this.#pools.get(pool);
    if (entry === undefined) {
      const { clock, telemetry } = this.#options;
      entry = {
        leadership: new PoolLeadership(pool, this.#leadershipPeers(), clock, telemetry),
        formerLeader: new FormerLeader(this.#leaderLiveness()),
        reportedMembers: new Set(),
        pool: undefined,
        engines: undefined,
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
    // A pool of plain backends has no leases to observe in advance.
    const observes = leads || (this.#hasEngines(name) && this.#observes(name));
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
      entry.engines?.setRateLimit(backendId, rule);
    this.#options.clock.setTimer(HANDOVER_MS, () => entry.engines?.wakeLeases());
    for (const use of this.requester.usesOf(name)) entry.pool.adoptUse(use);
    this.answers.checkUsesKnown(entry);
  }

  #endRole(entry: PoolEntry): void {
    entry.leading = false;
    entry.reportedMembers.clear();
    entry.pool?.close();
    entry.pool = undefined;
    entry.engines = undefined;
  }

  /** Whether this node is next to lead, or started so recently that it may be. */
  #observes(name: string): boolean {
    const { cluster, clock } = this.#options;
    if (this.#resigned) return false;
    const leader = this.#pools.get(name)?.leadership.leader;
    const followers = this.#candidates(name).filter((id) => id !== leader);
    const ageMs = clock.now() - this.#startedMs;
    const isStartingUp = ageMs < STARTUP_MS;
    if (isStartingUp && cluster.sinceFirstPeerMs < RANKING_SETTLE_MS && ageMs < NO_PEERS_AFTER_MS)
      return false;
    return followers.slice(0, isStartingUp ? STARTUP_OBSERVERS : 1).includes(cluster.selfId);
  }

  #newPool(name: string, entry: PoolEntry): GrantingPool {
    if (!this.#hasEngines(name)) return this.#newBackendPool(name);
    entry.engines = this.#newEnginePool(name, entry);
    return entry.engines;
  }

  #newBackendPool(name: string): BackendPool {
    const { clock, telemetry, fleet, switchedOff } = this.#options;
    const pool = new BackendPool({
      service: name,
      clock,
      telemetry,
      disabled: switchedOff,
      isLeaving: (id) => fleet.isLeaving(id),
      tenantWeight: (tenant) => this.#tenantWeight(tenant),
      rejectionLimit: () => this.#options.rejectionLimits.perSecond(name),
    });
    pool.setBackends(fleet.backendsOf(name));
    return pool;
  }

  #tenantWeight(tenant: string): number {
    return this.#options.fleet.routes?.tenants?.named(tenant)?.quota?.ratePerSecond ?? 1;
  }

  #newEnginePool(name: string, entry: PoolEntry): SlotPool {
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
      requiredVersion: (model, adapter) => this.#options.versionGrace.requiredToGrant(model, adapter),
      tenantWeight: (tenant) => this.#tenantWeight(tenant),
      rejectionLimit: () => this.#options.rejectionLimits.perSecond(name),
    });
    this.#setEngines(name, pool);
    return pool;
  }

  #fleetChanged(change: string): void {
    if (change === 'backends') {
      this.#memory.observe(this.#listedBackends());
      this.requester.retainRateLimits((id) => this.#options.fleet.backend(id) !== undefined);
    }
    for (const [name, { pool, engines }] of this.#pools) {
      if (pool instanceof BackendPool) pool.setBackends(this.#options.fleet.backendsOf(name));
      if (engines === undefined) continue;
      if (change === 'adapter-version') engines.schedule();
      else this.#setEngines(name, engines);
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
  readonly versionGrace: Pick<VersionGrace, 'requiredToGrant'>;
  readonly cluster: Cluster;
  readonly network: SlotNetwork;
  readonly control: EngineControl;
  /** This node's own paths to backends. */
  readonly paths: Pick<BackendPaths, 'state'>;
  /** What is known of the paths of all nodes. */
  readonly fleetPaths: Pick<FleetPaths, 'reaching' | 'isReachedByAnyBut' | 'isCutOff'>;
  readonly availability: Pick<BackendAvailability, 'isBackingOff'>;
  readonly rateLimits: Pick<BackendRateLimits, 'perSecond' | 'all'>;
  readonly rejectionLimits: Pick<RejectionLimits, 'perSecond'>;
  readonly timing: SlotTiming;
  readonly holder: OrderHolder;
  readonly engineFences: EngineFences;
  /** Mechanisms of the scheduling policy that are disabled, for measurements. */
  readonly switchedOff: DisabledMechanisms;
  readonly telemetry: Telemetry;
  /** Called with the memory of what this node, as a leader, holds for a peer when it has changed. */
  readonly onUsesHeld?: ((peer: PeerConnection, bytes: number) => void) | undefined;
}
