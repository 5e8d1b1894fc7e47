import { Notifier, type Clock } from '@canvasridge/clock';
import type { FleetState } from '@canvasridge/serving';
import type { Telemetry } from '@canvasridge/telemetry';
import type {
  DisabledMechanisms,
  GrantingPool,
  PoolRequest,
  RunningUse,
  SlotDecision,
  SlotRequest,
  StreamProgress,
  UseOutcome,
} from '@canvasridge/slots';
import { rateLimitRule, type BackendRateLimits } from '../backends/backend-rate-limits.js';
import type { RejectionLimits } from '../backends/rejection-limits.js';
import type { PlainSlotSource } from '../backends/granted-backend-picker.js';
import type { SlotSource } from '../backends/slot-picker.js';
import { UnreadLog } from '../peers/unread-log.js';
import type { Cluster } from './cluster.js';
import { OwnUses } from './own-uses.js';
import type { PoolEntry } from './pool-entry.js';
import { isScarce } from './scarce-backends.js';
import { RateLimitReporter } from './rate-limit-reporter.js';
import { RemoteSlots, type LeaderConnection, type LeaderNetwork } from './remote-slots.js';
import {
  RATE_LIMIT_METHOD,
  RELEASE_METHOD,
  STARTED_METHOD,
  cancelledDecision,
  type RateLimitParams,
  type ReleaseParams,
  type StartedParams,
} from './slot-protocol.js';

/**
 * Starts of responses within this time are reported in one message: each message costs both nodes CPU time.
 */
const STARTED_BATCH_MS = 12;
/**
 * Time within which a pool without a leader nearly always gets the next one: the first candidate claims it
 * after 150 ms, and gossip brings that to all nodes within two periods; after a loss of all nodes, the
 * candidates return one after the other.
 */
const ELECTION_MS = 800;
/** A request older than this fraction of its objective can no longer start in time. */
const LATEST_START_SHARE = 0.7;
/** Pause before a leader is asked again, while a pool changes hands. */
const NEXT_LEADER_DELAY_MS = 100;
/** The least time for which a request that a leader has let go waits for the next one, also if it will be late. */
const MIN_HANDOVER_MS = 200;

export interface SlotRequesterOptions {
  readonly clock: Clock;
  readonly fleet: FleetState;
  readonly cluster: Cluster;
  readonly network: LeaderNetwork;
  readonly rateLimits: Pick<BackendRateLimits, 'perSecond' | 'all'>;
  readonly rejectionLimits: Pick<RejectionLimits, 'perSecond'>;
  readonly telemetry?: Telemetry;
  /** Mechanisms of the scheduling policy that are disabled. */
  readonly switchedOff: DisabledMechanisms;
  /** By the pool's name. */
  readonly pools: ReadonlyMap<string, PoolEntry>;
  /** The state for a pool, created if there is none. */
  readonly entry: (pool: string) => PoolEntry;
}

/** Requests slots from the leaders of pools, whether that is this node or another, and reports to them what it runs. */
export class SlotRequester implements SlotSource, PlainSlotSource {
  readonly #options: SlotRequesterOptions;
  readonly #remoteSlots: RemoteSlots;
  readonly #uses: OwnUses;
  readonly #rateLimitReporter: RateLimitReporter;
  readonly #leaderChanged = new Notifier();
  /** By pool: requests whose responses have started, which has not been reported to the leader yet. */
  readonly #unreportedStarts = new Map<string, string[]>();

  constructor(options: SlotRequesterOptions) {
    this.#options = options;
    this.#remoteSlots = new RemoteSlots(
      options.clock,
      options.network,
      (address) => options.cluster.checkPeer(address),
      options.telemetry === undefined ? undefined : new UnreadLog(options.telemetry),
    );
    this.#uses = new OwnUses(options.clock);
    this.#rateLimitReporter = new RateLimitReporter({
      rateLimits: options.rateLimits,
      tell: (backendId, perSecond) => this.#reportRateLimit(backendId, perSecond),
    });
  }

  isGranted(service: string): boolean {
    const { fleet, cluster, switchedOff } = this.#options;
    const described = fleet.routes?.service(service);
    if (described === undefined || switchedOff.has('granted-backends')) return false;
    if (described.engine === undefined && this.#options.rejectionLimits.perSecond(service) !== undefined)
      return true;
    return isScarce(described, fleet.backendsOf(service), cluster.nodeCount);
  }

  /** Backends that fail when they turn many away get no more from all nodes together than they have slots. */
  maxWithoutGrant(service: string): number | undefined {
    const { fleet, cluster, rejectionLimits } = this.#options;
    if (rejectionLimits.perSecond(service) === undefined) return undefined;
    let slots = 0;
    for (const backend of fleet.backendsOf(service)) if (backend.state === 'ready') slots += backend.slots;
    return Math.max(1, Math.floor(slots / cluster.nodeCount));
  }

  runningOn(service: string): number {
    return this.#uses.of(service).length;
  }

  /** What this node runs on the backends of a pool. */
  usesOf(pool: string): RunningUse[] {
    return this.#uses.of(pool);
  }

  /** Called when a pool has another leader; undefined if none is known. */
  handleLeaderChange(pool: string, leader: string | undefined): void {
    this.#remoteSlots.leaderChanged(
      pool,
      leader === undefined ? undefined : this.#options.cluster.peerAddress(leader),
    );
    this.#leaderChanged.notify();
  }

  /** Called when a leader has changed, before it is told anything else. */
  forgetReportedRateLimits(): void {
    this.#rateLimitReporter.leaderChanged();
  }

  /** Forgets the rate limits of backends that are not listed. */
  retainRateLimits(isListed: (backendId: string) => boolean): void {
    this.#rateLimitReporter.retain(isListed);
  }

  /**
   * Requests a slot from the leader, and from the next leader if that one is giving up the pool or has given it up: the
   * election of the next one, and the news of it, take some time.
   */
  async acquire(
    poolName: string,
    request: SlotRequest,
    cancelled: AbortSignal,
  ): Promise<SlotDecision | undefined> {
    const { clock } = this.#options;
    const askedMs = clock.now();
    let untilMs: number | undefined;
    for (;;) {
      const aged = { ...request, ageMs: request.ageMs + clock.now() - askedMs };
      const decision = await this.#acquireOnce(poolName, aged, cancelled);
      if (decision?.kind === 'granted') {
        this.#uses.begin(poolName, request, decision.backendId);
        this.#rateLimitReporter.onGranted(decision);
      }
      const isStopping = decision?.kind === 'refused' && decision.reason === 'stopping';
      if (!isStopping || cancelled.aborted) return decision;
      untilMs ??= clock.now() + Math.max(electionWaitMs(aged), MIN_HANDOVER_MS);
      if (clock.now() >= untilMs) return undefined;
      await this.#leaderChanged.waitUpTo(clock, NEXT_LEADER_DELAY_MS);
    }
  }

  async acquirePlain(
    poolName: string,
    request: PoolRequest,
    cancelled: AbortSignal,
    answerWithinMs: number,
  ): Promise<SlotDecision | undefined> {
    const decision = await this.#acquirePlainOnce(poolName, request, cancelled, answerWithinMs);
    if (decision?.kind === 'granted') this.#uses.begin(poolName, request, decision.backendId);
    const isStopping = decision?.kind === 'refused' && decision.reason === 'stopping';
    return isStopping ? undefined : decision;
  }

  async #acquirePlainOnce(
    poolName: string,
    request: PoolRequest,
    cancelled: AbortSignal,
    answerWithinMs: number,
  ): Promise<SlotDecision | undefined> {
    const { pools, cluster } = this.#options;
    const entry = pools.get(poolName);
    const leader = entry?.leadership.leader;
    if (entry === undefined || leader === undefined) return undefined;
    if (entry.pool !== undefined && entry.leading) return this.#acquireHere(entry.pool, request, cancelled);
    const address = cluster.peerAddress(leader);
    if (address === undefined) return undefined;
    return this.#remoteSlots.acquireUnlessSilent(address, poolName, request, cancelled, answerWithinMs);
  }

  async #acquireOnce(
    poolName: string,
    request: SlotRequest,
    cancelled: AbortSignal,
  ): Promise<SlotDecision | undefined> {
    const entry = this.#options.entry(poolName);
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
    const untilMs = clock.now() + electionWaitMs(request);
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
    const { fleet } = this.#options;
    const pool = fleet.backend(backendId)?.service;
    // Leaders of plain backends count no rate limits: each node does before it sends.
    if (pool !== undefined && fleet.routes?.service(pool)?.engine === undefined) return;
    const entry = pool === undefined ? undefined : this.#options.pools.get(pool);
    if (pool === undefined || entry === undefined) return;
    if (entry.leading) {
      entry.engines?.setRateLimit(backendId, perSecond === null ? undefined : rateLimitRule(perSecond));
      return;
    }
    const params: RateLimitParams = { pool, backendId, perSecond };
    this.leaderConnection(pool)?.notify(RATE_LIMIT_METHOD, params);
  }

  startedWithoutGrant(poolName: string, request: PoolRequest, backendId: string): void {
    this.#uses.begin(poolName, request, backendId);
  }

  started(poolName: string, requestId: string): void {
    this.#uses.started(requestId);
    const entry = this.#options.pools.get(poolName);
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
    this.leaderConnection(poolName)?.notify(STARTED_METHOD, params);
  }

  /** The connection to a pool's leader, if the leader is known and is another node. */
  leaderConnection(poolName: string): LeaderConnection | undefined {
    const leader = this.#options.pools.get(poolName)?.leadership.leader;
    const address = leader === undefined ? undefined : this.#options.cluster.peerAddress(leader);
    return address === undefined ? undefined : this.#options.network.to(address);
  }

  release(poolName: string, requestId: string, outcome: UseOutcome, progress?: StreamProgress): void {
    const backendId = this.#uses.end(requestId);
    const entry = this.#options.pools.get(poolName);
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
    this.leaderConnection(poolName)?.notify(RELEASE_METHOD, params);
  }

  #acquireHere(pool: GrantingPool, request: PoolRequest, cancelled: AbortSignal): Promise<SlotDecision> {
    if (cancelled.aborted) return Promise.resolve(cancelledDecision(request.id));
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
  onDecided(params: unknown): void {
    this.#remoteSlots.onDecided(params);
  }
}

/**
 * How long a request can wait for a leader, in milliseconds: not longer than it may still start in time or, if its
 * client has received a part of the answer, than that client waits for the rest.
 */
function electionWaitMs({ isContinued, startWithinMs, objectiveMs, ageMs }: SlotRequest): number {
  const latestStartMs = isContinued === true ? startWithinMs : objectiveMs * LATEST_START_SHARE;
  return Math.min(latestStartMs - ageMs, ELECTION_MS);
}
