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
  type SwitchedOff,
  type UseOutcome,
} from '@canvasridge/slots';
import type { Telemetry } from '@canvasridge/telemetry';
import type { BackendAvailability } from '../backends/backend-availability.js';
import { rateLimitRule, type BackendRateLimits } from '../backends/backend-rate-limits.js';
import type { SlotSource } from '../backends/slot-picker.js';
import type { Cluster } from './cluster.js';
import { FormerLeader, type LeaderSight } from './former-leader.js';
import { HANDOVER_MS, OrderPermission, type EngineFences } from './order-permission.js';
import { OwnUses } from './own-uses.js';
import type { PoolEntry } from './pool-entry.js';
import { RateLimitNews } from './rate-limit-news.js';
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

/** Period in which a node looks at members and claims that hands out slots, is next to do so, or knows no leader. */
const TICK_MS = 100;
/**
 * The same for all others, which are woken by changes: of a fleet of hundreds nearly all have nothing to do with slots,
 * and a weak machine spends most of its processor time on waking up.
 */
const IDLE_TICK_MS = 400;
/** Beginnings of answers within this time are told together: each message costs both nodes processor time. */
const STARTED_DELAY_MS = 12;
const MOST_LEADERS_ASKED = 3;
/** A leader that sent something within this time is there: under load it sends several messages in it. */
const HEARD_LATELY_MS = 600;
/**
 * Time in which a pool without a leader gets the next one, nearly always: the first candidate claims it after 150 ms, and
 * gossip brings that to all nodes within two periods; after a loss of all, the candidates come back one after the other.
 */
const ELECTION_MS = 800;
/** A request that is older than this part of its objective could not begin in time any more. */
const LATEST_START_SHARE = 0.7;
/** For a while after their start the first few candidates observe, as any of them may soon have to lead. */
const YOUNG_MS = 8000;
const YOUNG_OBSERVERS = 3;
/** Until a node has known others for so long, each of a fleet that starts together takes itself for one of the first. */
const RANKED_AFTER_MS = 150;
/** A node that meets no other within this time after its start observes all the same. */
const UNMET_AFTER_MS = 1000;

/** Leads the pools that fall to this node, and asks other nodes for slots of the pools that they lead. */
export class SlotService implements SlotSource {
  readonly #options: SlotServiceOptions;
  readonly #pools = new Map<string, PoolEntry>();
  readonly #asked: RemoteSlots;
  readonly #uses: OwnUses;
  readonly #rateLimitNews: RateLimitNews;
  /** Answers to other nodes that take this one for the leader of a pool. */
  readonly answers: SlotAnswers;
  readonly #memory = new AdapterMemory();
  readonly #leaderChanged = new Notifier();
  readonly #permission: OrderPermission;
  /** By pool: requests whose answers have begun and whose leader is not told yet. */
  readonly #startedToTell = new Map<string, string[]>();
  readonly #startedMs: number;
  #stopped = false;
  #resigned = false;

  constructor(options: SlotServiceOptions) {
    this.#options = options;
    this.#asked = new RemoteSlots(options.clock, options.network, (address) =>
      options.cluster.checkPeer(address),
    );
    this.#uses = new OwnUses(options.clock);
    this.#rateLimitNews = new RateLimitNews({
      rateLimits: options.rateLimits,
      tell: (backendId, perSecond) => this.#tellRateLimit(backendId, perSecond),
    });
    const { fleet, cluster } = options;
    this.answers = new SlotAnswers({ fleet, cluster, pools: this.#pools });
    this.#permission = new OrderPermission({
      ...options,
      onDoubt: (reason) => {
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

  /** Gives up all pools and takes no other; slots can still be asked for. */
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

  /** Whether this node leads a pool or observes one since it may have to. */
  get takesPart(): boolean {
    for (const { pool } of this.#pools.values()) if (pool !== undefined) return true;
    return false;
  }

  /** Names of the nodes that lead pools, as far as this one knows. */
  leaders(): ReadonlySet<string> {
    const leaders = [...this.#pools.values()].map(({ leadership }) => leadership.leader);
    return new Set(leaders.filter((leader) => leader !== undefined));
  }

  /** Figures of the pools that this node leads. */
  describe(): (PoolFigures & { pool: string })[] {
    const rows = [];
    for (const [pool, entry] of this.#pools)
      if (entry.pool !== undefined && entry.leading) rows.push({ pool, ...entry.pool.describe() });
    return rows;
  }

  // --- asking ------------------------------------------------------------------------------------

  /** Asks the leader; where that one is just giving its pool up, the next one. */
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
        this.#rateLimitNews.granted(decision);
      }
      const isStopping = decision?.kind === 'refused' && decision.reason === 'stopping';
      if (!isStopping || cancelled.aborted || asked === MOST_LEADERS_ASKED) return decision;
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
    return address === undefined ? undefined : this.#asked.acquire(address, poolName, request, cancelled);
  }

  /** The leader, or undefined if none is found in the time of an election, or none in time for the request. */
  async #awaitLeader(entry: PoolEntry, request: SlotRequest): Promise<string | undefined> {
    const { clock } = this.#options;
    const leftMs = request.objectiveMs * LATEST_START_SHARE - request.ageMs;
    const untilMs = clock.now() + Math.min(leftMs, ELECTION_MS);
    while (entry.leadership.leader === undefined && clock.now() < untilMs) {
      await this.#leaderChanged.waitUpTo(clock, untilMs - clock.now());
    }
    return entry.leadership.leader;
  }

  /** An engine named in an answer to this node how many requests a second it takes; undefined: it does so no more. */
  rateLimitHeard(backendId: string, perSecond: number | undefined): void {
    this.#rateLimitNews.heard(backendId, perSecond);
  }

  #tellRateLimit(backendId: string, perSecond: number | null): void {
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

  began(poolName: string, request: SlotRequest, backendId: string): void {
    this.#uses.begin(poolName, request, backendId);
  }

  started(poolName: string, requestId: string): void {
    this.#uses.started(requestId);
    const entry = this.#pools.get(poolName);
    if (entry?.pool !== undefined && entry.leading) {
      entry.pool.started(requestId);
      return;
    }
    const told = this.#startedToTell.get(poolName);
    if (told !== undefined) {
      told.push(requestId);
      return;
    }
    this.#startedToTell.set(poolName, [requestId]);
    this.#options.clock.setTimer(STARTED_DELAY_MS, () => this.#tellStarted(poolName));
  }

  #tellStarted(poolName: string): void {
    const requestIds = this.#startedToTell.get(poolName) ?? [];
    this.#startedToTell.delete(poolName);
    const params: StartedParams = { pool: poolName, requestIds };
    this.#leaderConnection(poolName)?.notify(STARTED_METHOD, params);
  }

  /** The connection to a pool's leader, if that is another node that is known. */
  #leaderConnection(poolName: string): LeaderConnection | undefined {
    const leader = this.#pools.get(poolName)?.leadership.leader;
    const address = leader === undefined ? undefined : this.#options.cluster.peerAddress(leader);
    return address === undefined ? undefined : this.#options.network.to(address);
  }

  release(poolName: string, requestId: string, outcome: UseOutcome): void {
    const backendId = this.#uses.end(requestId);
    const entry = this.#pools.get(poolName);
    if (entry?.pool !== undefined && entry.leading) {
      entry.pool.release(requestId, outcome);
      return;
    }
    const { fleet } = this.#options;
    const isNews =
      backendId !== undefined &&
      fleet.hasAnnounced(backendId) &&
      fleet.unlistedDepartures(poolName).includes(backendId);
    // Without it the leader orders adapters onto that engine for other nodes until each of them was told.
    const leaving = isNews ? { leaving: backendId } : {};
    const params: ReleaseParams = { pool: poolName, requestId, outcome, ...leaving };
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

  /** A decision of another leader about a request that was queued there. */
  onDecided(decision: SlotDecision): void {
    this.#asked.onDecided(decision);
  }

  // --- leading -----------------------------------------------------------------------------------

  async #run(): Promise<void> {
    const { clock, cluster } = this.#options;
    while (!this.#stopped) {
      const { changes } = cluster;
      this.#tick();
      await clock.sleep(TICK_MS);
      const mayRest = cluster.changes === changes && !this.#isWatchful();
      if (mayRest) await cluster.changed.waitUpTo(clock, IDLE_TICK_MS - TICK_MS);
    }
  }

  /** Whether this node has a part in a pool, or some pool has no leader that is known. */
  #isWatchful(): boolean {
    const hasLeaders = [...this.#pools.values()].every(({ leadership }) => leadership.leader !== undefined);
    return this.takesPart || !hasLeaders || this.#pools.size === 0;
  }

  #tick(): void {
    const { fleet } = this.#options;
    this.#permission.update(this.#leads());
    for (const service of fleet.routes?.configuration.services ?? []) {
      if (service.engine === undefined) continue;
      const entry = this.#entry(service.name);
      if (entry.leadership.update()) this.#followLeader(service.name, entry);
      this.#updateRole(entry, service.name);
    }
  }

  #leads(): boolean {
    for (const { leading } of this.#pools.values()) if (leading) return true;
    return false;
  }

  #followLeader(pool: string, entry: PoolEntry): void {
    const { leader } = entry.leadership;
    entry.former.note(leader);
    this.#rateLimitNews.leaderChanged();
    this.#tellUses(pool, entry);
    this.#asked.leaderChanged(
      pool,
      leader === undefined ? undefined : this.#options.cluster.peerAddress(leader),
    );
    this.#leaderChanged.notify();
  }

  #leaderSight(): LeaderSight {
    const { cluster, network } = this.#options;
    return {
      selfId: cluster.selfId,
      processOf: (id) => cluster.processOf(id),
      heardLately: (id) => {
        const address = cluster.peerAddress(id);
        return address !== undefined && network.heardWithin(address, HEARD_LATELY_MS);
      },
    };
  }

  /** Tells a new leader, or the pool here, what this node runs on the engines. */
  #tellUses(pool: string, entry: PoolEntry): void {
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
        former: new FormerLeader(this.#leaderSight()),
        told: new Set(),
        pool: undefined,
        leading: false,
        leadingSinceMs: 0,
        foreignOrdersMs: -Infinity,
      };
      this.#pools.set(pool, entry);
    }
    return entry;
  }

  /** Starts, keeps or ends this node's part in a pool. */
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
    entry.pool.lead();
    for (const { backendId, rule } of this.#options.rateLimits.all())
      entry.pool.setRateLimit(backendId, rule);
    this.#options.clock.setTimer(HANDOVER_MS, () => entry.pool?.wakeLeases());
    for (const use of this.#uses.of(name)) entry.pool.adoptUse(use);
    this.answers.checkUsesKnown(entry);
  }

  #endRole(entry: PoolEntry): void {
    entry.leading = false;
    entry.told.clear();
    entry.pool?.close();
    entry.pool = undefined;
  }

  /** Whether this node is next to lead, or started so lately that it may be. */
  #observes(name: string): boolean {
    const { cluster, clock } = this.#options;
    if (this.#resigned) return false;
    const leader = this.#pools.get(name)?.leadership.leader;
    const followers = cluster.candidates(name).filter((id) => id !== leader);
    const ageMs = clock.now() - this.#startedMs;
    const isYoung = ageMs < YOUNG_MS;
    if (isYoung && cluster.acquaintedMs < RANKED_AFTER_MS && ageMs < UNMET_AFTER_MS) return false;
    return followers.slice(0, isYoung ? YOUNG_OBSERVERS : 1).includes(cluster.selfId);
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
      mayTake: () => permission.mayTake(entry),
      onForeignOrders: () => permission.noteForeignOrders(entry),
      mayTakeUnused: () => permission.mayTakeUnused(entry),
      mayTakeAtOnce: () => permission.mayTakeAtOnce(entry),
      memory: this.#memory,
      isBackingOff: (id) => this.#options.availability.isBackingOff(id),
      off: this.#options.switchedOff,
      adapterVersion: (model, adapter) => fleet.adapterVersion(model, adapter),
      tenantWeight: (tenant) => fleet.routes?.tenants?.named(tenant)?.quota?.ratePerSecond ?? 1,
    });
    this.#setEngines(name, pool);
    return pool;
  }

  #fleetChanged(change: string): void {
    if (change === 'backends') {
      this.#memory.observe(this.#listedBackends());
      this.#rateLimitNews.retain((id) => this.#options.fleet.backend(id) !== undefined);
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

/** Kept connections to other nodes, and what came over them. */
export interface SlotNetwork extends LeaderNetwork {
  /** Whether the connection to a node stands and brought something within this time. */
  heardWithin(address: string, spanMs: number): boolean;
}

export interface SlotServiceOptions {
  readonly clock: Clock;
  /** Goes on while the machine is suspended. */
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
  /** Parts of the policy that are switched off, for measurements. */
  readonly switchedOff: SwitchedOff;
  readonly telemetry: Telemetry;
}
