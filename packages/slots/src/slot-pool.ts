import type { QuotaRule } from '@canvasridge/admission';
import type { Timer } from '@canvasridge/clock';
import { adapterKey, type BackendDescription, type EngineProfile } from '@canvasridge/serving';
import { AdapterPopularity } from './adapter-popularity.js';
import { AdapterLoader } from './adapter-loader.js';
import type { AdapterMemory } from './adapter-memory.js';
import { largestTerm } from './engine-cost.js';
import { EngineCosts } from './engine-costs.js';
import { EngineSelector, type EngineChoice } from './engine-selector.js';
import type { EngineEntry } from './engine-entry.js';
import { EngineRegistry } from './engine-registry.js';
import { EngineUses, type EngineUse } from './engine-uses.js';
import type { AdapterSlot, EngineSlots } from './engine-slots.js';
import type { GrantingPool } from './granting-pool.js';
import { HostMemory } from './host-memory.js';
import { LoadStarter } from './load-starter.js';
import type { DisabledMechanisms } from './mechanisms.js';
import { ModelLoader } from './model-loader.js';
import type { OrderLeaseOptions } from './order-lease.js';
import { PaceLearner } from './pace-learner.js';
import { PoolIndex, countFetches } from './pool-index.js';
import { describeEngines, type PoolFigures } from './pool-figures.js';
import { RefusalPolicy } from './refusal-policy.js';
import { RefusedRequests } from './refused-requests.js';
import { RequestPlacement } from './request-placement.js';
import {
  grantDecision,
  isEngineRequest,
  type PoolRequest,
  type RefusalReason,
  type RunningUse,
  type SlotDecision,
  type StreamProgress,
  type UseOutcome,
} from './slot-request.js';
import { SlotTurnover } from './slot-turnover.js';
import { StreamKinds } from './stream-kinds.js';
import { WaitingList, type WaitingRequest } from './waiting-list.js';

/** Options of a pool. The inherited ones are passed to the order lease of each engine. */
export interface SlotPoolOptions extends Omit<OrderLeaseOptions, 'backend' | 'onReport'> {
  readonly service: string;
  /** Which adapters each engine likely has in its host memory. */
  readonly memory: AdapterMemory;
  /** Mechanisms that are disabled by a setting. */
  readonly disabled: DisabledMechanisms;
  /** The published version of an adapter, 0 if none was published. */
  readonly adapterVersion: (model: string, adapter: string) => number;
  /** The oldest version of an adapter that may be granted, 0 for any. */
  readonly requiredVersion: (model: string, adapter: string) => number;
  /** Whether an engine told this node to back off for a while. It may still accept other nodes. */
  readonly isBackingOff: (backendId: string) => boolean;
  /** A tenant's weight in the fair sharing of engines, above 0. */
  readonly tenantWeight: (tenant: string) => number;
  /** Requests that an engine may turn away in a second before it fails; undefined for any number. */
  readonly rejectionLimit?: () => number | undefined;
}

/** Within this time all nodes report their running requests to a new leader. No adapter is evicted before. */
const USES_REPORTED_WITHIN_MS = 400;
/** Changes within this time trigger a single placement run. */
const SCHEDULE_DELAY_MS = 4;
/** A new request may be placed with an index up to this old. A run over all waiting requests builds a new one. */
const MAX_INDEX_AGE_MS = 8;
/** A refusal counts as early if the request's age is at most this fraction of its objective. */
const EARLY_REFUSAL_SHARE = 0.25;
/** How long an engine is avoided after it failed a request. */
const AVOID_AFTER_FAILURE_MS = 1500;
/** A granted request whose end was never reported counts as ended this long after its timeout. */
const LOST_RELEASE_MARGIN_MS = 1000;

/**
 * Grants the adapter slots of all engines of one service to requests, and orders loads and unloads of adapters for
 * requests that wait. It is active on one node at a time, the pool's leader. Its grants are kept in memory only.
 */
export class SlotPool implements GrantingPool {
  readonly #options: SlotPoolOptions;
  readonly #engines: EngineRegistry;
  readonly #selector: EngineSelector;
  readonly #waiting: WaitingList;
  readonly #uses: EngineUses;
  readonly #popularity: AdapterPopularity;
  readonly #turnover: SlotTurnover;
  readonly #hostMemory: HostMemory;
  readonly #adapters: AdapterLoader;
  readonly #models: ModelLoader;
  readonly #placement: RequestPlacement;
  readonly #paces: PaceLearner;
  readonly #timers = new Set<Timer>();
  readonly #refused: RefusedRequests;
  readonly #refusals: RefusalPolicy;
  #lastIndex: PoolIndex | undefined;
  #isPlacementScheduled = false;
  #isClosed = false;

  constructor(options: SlotPoolOptions) {
    this.#options = options;
    this.#popularity = new AdapterPopularity(options.clock);
    this.#turnover = new SlotTurnover(options.clock);
    const { clock, timing, memory, adapterVersion } = options;
    const after = (delayMs: number, action: () => void): void => this.#after(delayMs, action);
    const onChange = (): void => this.schedule();
    const engines = (): Iterable<EngineEntry> => this.#engines.listed();
    const fetchesInProgress = (): number => countFetches(this.#engines.all());
    const shared = { clock, after, onChange };
    const { telemetry, disabled, service } = options;
    const learns = !disabled.has('learnt-memory');
    this.#hostMemory = new HostMemory({ clock, memory, telemetry, service, learns });
    const loading = {
      timing,
      memory: this.#hostMemory,
      adapterVersion,
      fetchesInProgress,
      telemetry,
      disabled,
    };
    this.#adapters = new AdapterLoader({ ...shared, ...loading });
    this.#models = new ModelLoader({ ...shared, telemetry, engines, pollMs: timing.observePeriodMs });
    this.#refused = new RefusedRequests(clock);
    this.#uses = new EngineUses(clock, memory, this.#turnover);
    const onAdopted = (slots: EngineSlots): void => {
      this.#adapters.awaitPending(slots);
      const entry = this.#engines.get(slots.backend.id);
      const isLoadingModel = slots.busy && slots.models.size === 0;
      if (isLoadingModel && entry !== undefined) this.#models.pollUntilIdle(slots, entry.lease);
      this.schedule();
    };
    const learnsSpeed = !options.disabled.has('learnt-speed');
    this.#engines = new EngineRegistry({
      clock,
      lease: options,
      after,
      onAdopted,
      learnsSpeed,
      rejectionLimit: options.rejectionLimit,
      onAnswering: onChange,
    });
    const { poolSpeed } = this.#engines;
    this.#waiting = new WaitingList(
      ({ promptTokens }) => promptTokens * poolSpeed.msPerToken,
      options.disabled,
      {
        gapMs: () => this.#turnover.meanGapMs(),
        weightOf: options.tenantWeight,
      },
    );
    const kinds = new StreamKinds();
    this.#paces = new PaceLearner(kinds);
    const costs = new EngineCosts({ poolSpeed, kinds, disabled: options.disabled });
    const versions = { published: adapterVersion, required: options.requiredVersion };
    this.#selector = new EngineSelector(this.#engines, costs, versions);
    const loads = new LoadStarter({
      clock,
      engines: this.#engines,
      selector: this.#selector,
      adapters: this.#adapters,
      memory: this.#hostMemory,
      adapterPopularity: this.#popularity,
      waiting: this.#waiting,
      isBackingOff: options.isBackingOff,
      costs,
      disabled: options.disabled,
      telemetry,
    });
    this.#placement = new RequestPlacement({
      selector: this.#selector,
      loads,
      waiting: this.#waiting,
      disabled: options.disabled,
      grant: (waiting, choice, slot, nowMs) => this.#grant(waiting, choice, slot, nowMs),
      after,
      placeAll: () => this.#placeAll(),
    });
    this.#refusals = new RefusalPolicy({
      clock,
      engines: this.#engines,
      selector: this.#selector,
      waiting: this.#waiting,
      turnover: this.#turnover,
      index: () => this.#index(),
      coldLoadMs: () => this.#adapters.coldLoadMs,
      fetchWindow: () => this.#adapters.fetchWindow,
      after,
      refuse: (waiting, reason, retryAfterMs) => this.#refuse(waiting, reason, retryAfterMs),
      disabled: options.disabled,
    });
  }

  /** Updates the pool to the published list of engines. */
  setEngines(backends: readonly BackendDescription[], profile: EngineProfile): void {
    this.#models.setRate(profile.storeLoadsPerSecond);
    this.#engines.update(backends, profile);
    this.#adapters.setEngineCount(backends.length);
    this.#lastIndex = undefined;
    this.schedule();
  }

  /**
   * Called when this node becomes leader of the pool. Engines whose order count was already observed for a whole lease are
   * taken at once.
   */
  startLeading(): void {
    const evictAfterMs = this.#options.clock.now() + USES_REPORTED_WITHIN_MS;
    for (const { lease, slots } of this.#engines.all()) {
      slots.evictAfterMs = evictAfterMs;
      lease.wake();
    }
  }

  /** Checks all order leases at once, as when this node may give orders now. */
  wakeLeases(): void {
    for (const { lease } of this.#engines.all()) lease.wake();
  }

  /** Called when all nodes have reported their running requests. Idle adapters may be evicted from now on. */
  handleAllUsesReported(): void {
    for (const { slots } of this.#engines.all()) slots.evictAfterMs = 0;
    this.schedule();
  }

  /** Adds a running request that a former leader granted, or that was sent without a grant. */
  adoptUse(use: RunningUse): void {
    const entry = this.#engines.get(use.backendId);
    if (entry === undefined || this.#uses.get(use.requestId) !== undefined || this.#isClosed) return;
    const nowMs = this.#options.clock.now();
    const { model, adapter, requestId } = use;
    const slot = adapter === undefined ? undefined : entry.slots.get(adapterKey(model, adapter));
    this.#uses.begin(requestId, entry, slot, undefined);
    if (!use.started) entry.slots.backlog.add(requestId, use.promptTokens, nowMs);
    this.#releaseAfterTimeout(requestId, use.leftMs);
  }

  /** Gives up the order leases of all engines. They have to be observed for a whole lease again. */
  resetLeases(reason: string): void {
    for (const { lease } of this.#engines.all()) lease.reset(reason);
  }

  /** Re-reads the state of every held engine from a report before its next order. */
  settleLeases(): void {
    for (const { lease } of this.#engines.all()) lease.settle();
  }

  /** Refuses all waiting requests and stops. */
  close(): void {
    this.#isClosed = true;
    this.#engines.close();
    for (const timer of this.#timers) timer.cancel();
    for (const waiting of this.#waiting.all()) this.#refuse(waiting, 'stopping', 0);
  }

  /** Requests an engine. `decide` is called exactly once, possibly before this method returns. */
  acquire(request: PoolRequest, decide: (decision: SlotDecision) => void): void {
    if (!isEngineRequest(request)) {
      // Its node does not know yet that the service has become one of engines.
      decide({ kind: 'refused', requestId: request.id, reason: 'no-engine', retryAfterMs: 0 });
      return;
    }
    const nowMs = this.#options.clock.now();
    const isTakeover = request.isTakeover === true;
    const refusal = isTakeover ? undefined : this.#refused.take(request.promptKey);
    // A request that was refused late can no longer meet its objective, so the retry's age is raised to be beyond it.
    const penaltyMs = refusal === 'late' ? request.objectiveMs : 0;
    const arrivedMs = nowMs - request.ageMs - penaltyMs;
    const returned = refusal !== undefined;
    const waiting: WaitingRequest = { request, arrivedMs, returned, decide, obstacle: 'none' };
    if (this.#isClosed) {
      this.#refuse(waiting, 'stopping', 0);
      return;
    }
    if (request.adapter !== undefined && !isTakeover)
      this.#popularity.recordRequest(adapterKey(request.model, request.adapter));
    this.#waiting.add(waiting, nowMs);
    this.#placement.place(waiting, this.#index(), nowMs);
    if (this.#waiting.get(request.id) === undefined) return;
    this.#refusals.scheduleCheck();
  }

  /** Sets the limit that an engine announces for the requests of all nodes together; undefined if it announces none now. */
  setRateLimit(engineId: string, rule: QuotaRule | undefined): void {
    const entry = this.#engines.get(engineId);
    if (entry === undefined) return;
    entry.rate.rule = rule;
    this.schedule();
  }

  cancel(requestId: string, isWithdrawn = false): void {
    if (isWithdrawn) this.#waiting.remove(requestId);
    else this.#waiting.unserved(requestId, this.#options.clock.now());
  }

  /** Called when the first event of a granted request arrives from its engine. */
  started(requestId: string): void {
    const use = this.#uses.get(requestId);
    const entry = use === undefined ? undefined : this.#engines.get(use.engineId);
    if (use === undefined || entry === undefined) return;
    entry.answerCheck.answered();
    this.#paces.recordProcessed(entry.slots, requestId, this.#options.clock.now());
    if (use.slot !== undefined) this.#adapters.recordServed(use.slot, use.beganMs);
    this.schedule();
  }

  /**
   * Called when a granted request has ended.
   * @param progress how fast its events came; undefined if unknown, as from nodes of earlier builds
   */
  release(requestId: string, outcome: UseOutcome, progress?: StreamProgress): void {
    const use = this.#uses.end(requestId, (id) => this.#engines.get(id));
    if (use === undefined) return;
    const entry = this.#engines.get(use.engineId);
    if (entry !== undefined && use.kind !== undefined && progress !== undefined)
      this.#paces.recordStream(entry.slots, use.kind, progress, this.#options.clock.now());
    if (entry !== undefined) this.#applyOutcome(outcome, requestId, entry, use);
    this.schedule();
  }

  #applyOutcome(
    outcome: UseOutcome,
    requestId: string,
    entry: EngineEntry,
    { slot, beganMs }: EngineUse,
  ): void {
    const nowMs = this.#options.clock.now();
    if (outcome === 'served') this.#paces.recordProcessed(entry.slots, requestId, nowMs);
    else entry.slots.backlog.drop(requestId);
    if (outcome === 'not-present') this.#handleMissing(entry, slot, beganMs);
    else if (outcome === 'failed' || outcome === 'refused') {
      if (outcome === 'refused') entry.rejections.recordRejection(nowMs);
      entry.slots.avoidUntilMs = nowMs + AVOID_AFTER_FAILURE_MS;
      entry.answerCheck.requestFailed();
    } else if (outcome === 'served' && slot !== undefined) this.#adapters.recordServed(slot, beganMs);
  }

  /** Schedules a placement run for all waiting requests. Calls in quick succession share one run. */
  schedule(): void {
    if (this.#isClosed || this.#isPlacementScheduled) return;
    this.#isPlacementScheduled = true;
    this.#after(SCHEDULE_DELAY_MS, () => {
      this.#isPlacementScheduled = false;
      this.#placeAll();
    });
  }

  #placeAll(): void {
    this.#models.loadMissing();
    if (this.#waiting.size === 0) return;
    const nowMs = this.#options.clock.now();
    const index = this.#newIndex(nowMs);
    for (const waiting of this.#waiting.inOrder(nowMs)) this.#placement.place(waiting, index, nowMs);
  }

  /** Returns an index that is at most a few milliseconds old, because building one reads all slots of all engines. */
  #index(): PoolIndex {
    const nowMs = this.#options.clock.now();
    const last = this.#lastIndex;
    return last !== undefined && nowMs - last.builtMs < MAX_INDEX_AGE_MS ? last : this.#newIndex(nowMs);
  }

  #newIndex(nowMs: number): PoolIndex {
    const index = new PoolIndex(this.#engines.all(), nowMs);
    this.#lastIndex = index;
    return index;
  }

  /** Returns the pool's figures for logs and metrics. */
  describe(): PoolFigures {
    const nowMs = this.#options.clock.now();
    return {
      ...describeEngines(this.#engines.listed(), nowMs),
      waiting: this.#waiting.size,
      running: this.#uses.size,
      shares: this.#waiting.describeShares(nowMs),
      coldLoadMs: Math.round(this.#adapters.coldLoadMs),
      warmLoadMs: Math.round(this.#adapters.warmLoadMs),
      hostAdapters: this.#hostMemory.adaptersPerEngine,
      fetchWindow: this.#adapters.fetchWindow,
      readMsPer1000: Math.round(this.#engines.poolSpeed.msPerToken * 1000),
      gapMs: Math.round(this.#turnover.meanGapMs()),
    };
  }

  // --- grants ------------------------------------------------------------------------------------

  #grant(waiting: WaitingRequest, choice: EngineChoice, slot: AdapterSlot | undefined, nowMs: number): void {
    const { request } = waiting;
    const { entry: engine, terms, costMs } = choice;
    this.#waiting.granted(request.id, nowMs);
    const { id } = engine.slots.backend;
    const aheadMs = engine.slots.backlog.remainingMs(nowMs);
    this.#logDecision('slot.granted', waiting, {
      engine: id,
      aheadMs: Math.round(aheadMs),
      running: engine.slots.running,
      costMs: Math.round(costMs),
      costTerm: largestTerm(terms),
    });
    engine.slots.backlog.add(request.id, request.promptTokens, nowMs);
    this.#uses.begin(request.id, engine, slot, request);
    this.#releaseAfterTimeout(request.id, request.timeoutMs - request.ageMs);
    engine.rate.take();
    engine.rejections.recordGrant(nowMs);
    const adapterVersion = slot === undefined ? {} : { adapterVersion: slot.version };
    waiting.decide({
      ...grantDecision(request.id, engine.slots.backend),
      ...engine.rate.stated,
      ...adapterVersion,
    });
  }

  /** Releases a granted request some time after its timeout, so that a node that disappeared does not keep its slots. */
  #releaseAfterTimeout(requestId: string, leftMs: number): void {
    this.#after(Math.max(leftMs, 0) + LOST_RELEASE_MARGIN_MS, () => this.release(requestId, 'cancelled'));
  }

  /** Corrects the believed state of an engine that did not have the requested model or adapter. */
  #handleMissing(entry: EngineEntry, slot: AdapterSlot | undefined, sentMs: number): void {
    if (slot !== undefined) {
      this.#adapters.handleMissing(entry, slot, sentMs);
      return;
    }
    entry.lease.settle();
    entry.slots.avoidUntilMs = this.#options.clock.now() + AVOID_AFTER_FAILURE_MS;
  }

  // --- decisions ---------------------------------------------------------------------------------

  #refuse(waiting: WaitingRequest, reason: RefusalReason, retryAfterMs: number): void {
    const { promptKey, objectiveMs, isTakeover } = waiting.request;
    const ageMs = this.#options.clock.now() - waiting.arrivedMs;
    this.#logDecision('slot.refused', waiting, { reason, retryAfterMs: Math.round(retryAfterMs) });
    // Its client is not told, and does not come back.
    if (isTakeover !== true)
      this.#refused.record(promptKey, ageMs <= objectiveMs * EARLY_REFUSAL_SHARE ? 'early' : 'late');
    waiting.decide({ kind: 'refused', requestId: waiting.request.id, reason, retryAfterMs });
  }

  /** Logs the decision on a request with its age and what it waited for. */
  #logDecision(event: string, waiting: WaitingRequest, fields: Record<string, string | number>): void {
    const { request, arrivedMs, obstacle, returned } = waiting;
    const ageMs = Math.round(this.#options.clock.now() - arrivedMs);
    const { traceId, route, priority, adapter, promptTokens, isTakeover } = request;
    const placed = { route, priority, adapter, promptTokens, isTakeover };
    const described = { ...placed, ageMs, obstacle, returned, ...fields };
    this.#options.telemetry.event('info', event, traceId, described);
  }

  #after(delayMs: number, action: () => void): void {
    const timer = this.#options.clock.setTimer(delayMs, () => {
      this.#timers.delete(timer);
      if (!this.#isClosed) action();
    });
    this.#timers.add(timer);
  }
}
