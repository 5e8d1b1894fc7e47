import type { QuotaRule } from '@canvasridge/admission';
import type { Timer } from '@canvasridge/clock';
import { adapterKey, type BackendDescription, type EngineProfile } from '@canvasridge/serving';
import { AdapterPopularity } from './adapter-popularity.js';
import { AdapterLoader } from './adapter-loader.js';
import type { AdapterMemory } from './adapter-memory.js';
import { EngineSelector, startDelayMs, isCrowded } from './engine-selector.js';
import type { EngineEntry } from './engine-entry.js';
import { EngineRegistry } from './engine-registry.js';
import { EngineUses } from './engine-uses.js';
import type { AdapterSlot, EngineSlots } from './engine-slots.js';
import { LoadStarter, SPARE_SHARE } from './load-starter.js';
import type { SwitchedOff } from './mechanisms.js';
import { ModelLoader } from './model-loader.js';
import type { OrderLeaseOptions } from './order-lease.js';
import { PoolIndex, countFetches } from './pool-index.js';
import { describeEngines, type PoolFigures } from './pool-figures.js';
import { RefusalPolicy } from './refusal-policy.js';
import { RefusedRequests } from './refused-requests.js';
import type { RefusalReason, RunningUse, SlotDecision, SlotRequest, UseOutcome } from './slot-request.js';
import { SlotTurnover } from './slot-turnover.js';
import { WaitingList, type WaitingRequest } from './waiting-list.js';

/** Who leads the pool and what it knows beside its engines; the leases of all engines share the rest. */
export interface SlotPoolOptions extends Omit<OrderLeaseOptions, 'backend' | 'onReport'> {
  readonly service: string;
  readonly memory: AdapterMemory;
  /** Parts of the policy that are switched off. */
  readonly off: SwitchedOff;
  /** The version of an adapter that was published, 0 if none was. */
  readonly adapterVersion: (model: string, adapter: string) => number;
  /** Whether an engine turned this node away and wants nothing from it for a while; to other nodes it may be good. */
  readonly isBackingOff: (backendId: string) => boolean;
  /** A tenant's part of what all may use, above 0. */
  readonly tenantWeight: (tenant: string) => number;
}

/** Nodes tell a new leader within this time what they run on the engines; no adapter gives way before. */
const USES_REPORTED_WITHIN_MS = 400;
/** Changes within this time are looked at together. */
const SCHEDULE_DELAY_MS = 4;
/** A single request is placed with an index up to this old; what waits is looked at again with a new one. */
const MAX_INDEX_AGE_MS = 8;
/** Part of its objective for which a request may wait behind prompts at an engine before another one is looked for. */
const SHORT_BACKLOG_SHARE = 0.15;
/** The same from which a request waits here, where it can still go to another engine. */
const LONG_BACKLOG_SHARE = 0.45;
/** The same for a request that is late in any case: it goes where it holds up few that are not. */
const LATE_BACKLOG_SHARE = 0.2;
/** How long after a request was held back for a long backlog it is looked at again. */
const BACKLOG_POLL_MS = 40;
/** A refusal up to this part of the objective counts as early. */
const EARLY_REFUSAL_SHARE = 0.25;
/** An engine that failed a request is given less for this long. */
const AVOID_AFTER_FAILURE_MS = 1500;
/** A use whose end was never told is over this long after its request's time. */
const LOST_RELEASE_MARGIN_MS = 1000;

/**
 * Hands out the adapter slots of all engines of one service, and orders loads and unloads for the requests
 * that wait. One node runs it at a time; what it grants is kept in memory only.
 */
export class SlotPool {
  readonly #options: SlotPoolOptions;
  readonly #engines: EngineRegistry;
  readonly #selector: EngineSelector;
  readonly #waiting: WaitingList;
  readonly #uses: EngineUses;
  readonly #popularity: AdapterPopularity;
  readonly #turnover: SlotTurnover;
  readonly #adapters: AdapterLoader;
  readonly #models: ModelLoader;
  readonly #loads: LoadStarter;
  readonly #timers = new Set<Timer>();
  readonly #refused: RefusedRequests;
  readonly #refusals: RefusalPolicy;
  #lastIndex: PoolIndex | undefined;
  #isRetryScheduled = false;
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
    const fetchesUnderWay = (): number => countFetches(this.#engines.all());
    const shared = { clock, after, onChange };
    this.#adapters = new AdapterLoader({ ...shared, timing, memory, adapterVersion, fetchesUnderWay });
    this.#models = new ModelLoader({ ...shared, engines, pollMs: timing.observePeriodMs });
    this.#refused = new RefusedRequests(clock);
    this.#uses = new EngineUses(clock, memory, this.#turnover);
    const onAdopted = (slots: EngineSlots): void => {
      this.#adapters.awaitPending(slots);
      const entry = this.#engines.get(slots.backend.id);
      const isLoadingModel = slots.busy && slots.models.size === 0;
      if (isLoadingModel && entry !== undefined) this.#models.pollUntilIdle(slots, entry.lease);
      this.schedule();
    };
    const learnsSpeed = !options.off.has('learnt-speed');
    this.#engines = new EngineRegistry({ clock, lease: options, after, onAdopted, learnsSpeed });
    const { poolSpeed } = this.#engines;
    this.#waiting = new WaitingList((tokens) => tokens * poolSpeed.msPerToken, options.off, {
      gapMs: () => this.#turnover.meanGapMs(),
      weightOf: options.tenantWeight,
    });
    this.#selector = new EngineSelector(this.#engines, adapterVersion);
    this.#loads = new LoadStarter({
      clock,
      engines: this.#engines,
      selector: this.#selector,
      adapters: this.#adapters,
      memory,
      adapterPopularity: this.#popularity,
      waiting: this.#waiting,
      isBackingOff: options.isBackingOff,
      disabled: options.off,
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
      disabled: options.off,
    });
  }

  /** Takes over the published list of engines. */
  setEngines(backends: readonly BackendDescription[], profile: EngineProfile): void {
    this.#models.setRate(profile.storeLoadsPerSecond);
    this.#engines.update(backends, profile);
    this.#adapters.setEngineCount(backends.length);
    this.#lastIndex = undefined;
    this.schedule();
  }

  /** This node leads the pool from now on: leases that were observed long enough are taken at once. */
  lead(): void {
    const evictAfterMs = this.#options.clock.now() + USES_REPORTED_WITHIN_MS;
    for (const { lease, slots } of this.#engines.all()) {
      slots.evictAfterMs = evictAfterMs;
      lease.wake();
    }
  }

  /** Looks at once for engines that can be taken now. */
  wakeLeases(): void {
    for (const { lease } of this.#engines.all()) lease.wake();
  }

  /** All nodes have told what they run, so idle adapters may give way. */
  usesKnown(): void {
    for (const { slots } of this.#engines.all()) slots.evictAfterMs = 0;
    this.schedule();
  }

  /** Takes over a request that another leader granted, or none, and that still runs. */
  adoptUse(use: RunningUse): void {
    const entry = this.#engines.get(use.backendId);
    if (entry === undefined || this.#uses.get(use.requestId) !== undefined || this.#isClosed) return;
    const nowMs = this.#options.clock.now();
    const { model, adapter, requestId } = use;
    const slot = adapter === undefined ? undefined : entry.slots.get(adapterKey(model, adapter));
    this.#uses.begin(requestId, entry, slot);
    if (!use.started) entry.slots.backlog.add(requestId, use.promptTokens, nowMs);
    this.#releaseAfterTimeout(requestId, use.leftMs);
  }

  /** Ends the lease of every engine until it has been observed again. */
  resetLeases(reason: string): void {
    for (const { lease } of this.#engines.all()) lease.reset(reason);
  }

  /** Reads what every engine that is held shows before its next order. */
  settleLeases(): void {
    for (const { lease } of this.#engines.all()) lease.settle();
  }

  /** Answers everything that waits with a refusal and stops. */
  close(): void {
    this.#isClosed = true;
    this.#engines.close();
    for (const timer of this.#timers) timer.cancel();
    for (const waiting of this.#waiting.all()) this.#refuse(waiting, 'stopping', 0);
  }

  /** Asks for an engine; `decide` is called once, maybe before this returns. */
  acquire(request: SlotRequest, decide: (decision: SlotDecision) => void): void {
    const nowMs = this.#options.clock.now();
    const refusal = this.#refused.take(request.promptKey);
    // One that was refused late can't be answered in time any more, whatever its new attempt says.
    const penaltyMs = refusal === 'late' ? request.objectiveMs : 0;
    const arrivedMs = nowMs - request.ageMs - penaltyMs;
    const returned = refusal !== undefined;
    const waiting: WaitingRequest = { request, arrivedMs, returned, decide, obstacle: 'none' };
    if (this.#isClosed) {
      this.#refuse(waiting, 'stopping', 0);
      return;
    }
    if (request.adapter !== undefined)
      this.#popularity.recordRequest(adapterKey(request.model, request.adapter));
    this.#waiting.add(waiting);
    this.#place(waiting, this.#index(), nowMs);
    if (this.#waiting.get(request.id) === undefined) return;
    this.#refusals.scheduleCheck();
  }

  /** An engine names a limit for the requests of all nodes together, or names it no more (undefined). */
  setRateLimit(engineId: string, rule: QuotaRule | undefined): void {
    const entry = this.#engines.get(engineId);
    if (entry === undefined) return;
    entry.rate.rule = rule;
    this.schedule();
  }

  /** The client went away, or the request is served in another way. */
  cancel(requestId: string): void {
    this.#waiting.remove(requestId);
  }

  /** The first event of a granted request came back from its engine. */
  started(requestId: string): void {
    const use = this.#uses.get(requestId);
    const entry = use === undefined ? undefined : this.#engines.get(use.engineId);
    if (use === undefined || entry === undefined) return;
    entry.slots.backlog.recordRead(requestId, this.#options.clock.now());
    if (use.slot !== undefined) this.#adapters.recordServed(use.slot);
    this.schedule();
  }

  /** A granted request has ended. */
  release(requestId: string, outcome: UseOutcome): void {
    const use = this.#uses.end(requestId, (id) => this.#engines.get(id));
    if (use === undefined) return;
    const entry = this.#engines.get(use.engineId);
    if (entry !== undefined) this.#applyOutcome(outcome, requestId, entry, use.slot);
    this.schedule();
  }

  #applyOutcome(
    outcome: UseOutcome,
    requestId: string,
    entry: EngineEntry,
    slot: AdapterSlot | undefined,
  ): void {
    const nowMs = this.#options.clock.now();
    if (outcome === 'served') entry.slots.backlog.recordRead(requestId, nowMs);
    else entry.slots.backlog.drop(requestId);
    if (outcome === 'not-present') this.#handleMissing(entry, slot, nowMs);
    else if (outcome === 'failed' || outcome === 'refused') {
      entry.slots.avoidUntilMs = nowMs + AVOID_AFTER_FAILURE_MS;
    } else if (outcome === 'served' && slot !== undefined) this.#adapters.recordServed(slot);
  }

  /** Gives what waits to what is free, soon: changes that come close together are looked at once. */
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
    for (const waiting of this.#waiting.inOrder(nowMs)) this.#place(waiting, index, nowMs);
  }

  /** An index that is a few milliseconds old at the most: building one looks at all slots of all engines. */
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

  /** Figures for logs and metrics. */
  describe(): PoolFigures {
    return {
      ...describeEngines(this.#engines.listed(), this.#options.clock.now()),
      waiting: this.#waiting.size,
      running: this.#uses.size,
      coldLoadMs: Math.round(this.#adapters.coldLoadMs),
      fetchWindow: this.#adapters.fetchWindow,
      readMsPer1000: Math.round(this.#engines.poolSpeed.msPerToken * 1000),
      gapMs: Math.round(this.#turnover.meanGapMs()),
    };
  }

  // --- grants ------------------------------------------------------------------------------------

  #place(waiting: WaitingRequest, index: PoolIndex, nowMs: number): void {
    const { request } = waiting;
    const engine = this.#selector.best(request, index, nowMs);
    if (request.adapter === undefined) {
      waiting.obstacle = 'no-engine';
      if (engine !== undefined) this.#grant(waiting, engine, undefined, nowMs);
      else if (this.#waitsForRateLimit(request, index)) waiting.obstacle = 'rate-limit';
      return;
    }
    const slot = engine?.slots.get(adapterKey(request.model, request.adapter));
    const aheadMs = engine === undefined ? Infinity : startDelayMs(engine, nowMs);
    // A copy on a second engine takes a slot from another adapter, so it is made for time alone only if some are idle.
    const hasSpare = index.spareShare >= SPARE_SHARE || this.#options.off.has('spare-copies');
    const copyAfterShare = hasSpare ? SHORT_BACKLOG_SHARE : LONG_BACKLOG_SHARE;
    const copyAfterMs = Math.min(request.objectiveMs * copyAfterShare, this.#maxBacklogMs(waiting, nowMs));
    const isShortBacklog = aheadMs <= copyAfterMs;
    if (engine !== undefined && isShortBacklog && !isCrowded(engine)) {
      this.#grant(waiting, engine, slot, nowMs);
      return;
    }
    if (this.#selector.isLoading(request, index)) waiting.obstacle = 'loading';
    else waiting.obstacle = this.#loads.start(waiting, index, aheadMs);
    if (engine === undefined) {
      if (this.#waitsForRateLimit(request, index) && waiting.obstacle !== 'loading')
        waiting.obstacle = 'rate-limit';
      return;
    }
    if (aheadMs <= this.#maxBacklogMs(waiting, nowMs)) {
      this.#grant(waiting, engine, slot, nowMs);
      return;
    }
    if (waiting.obstacle !== 'loading') waiting.obstacle = 'backlog';
    this.#scheduleRetry();
  }

  /** Whether an engine that has what the request needs takes no more at present; it is looked at again as units come. */
  #waitsForRateLimit(request: SlotRequest, index: PoolIndex): boolean {
    const isLimited = this.#selector.isRateLimited(request, index);
    if (isLimited) this.#scheduleRetry();
    return isLimited;
  }

  /** Prompts ahead with which a request still goes to an engine. */
  #maxBacklogMs({ request, arrivedMs }: WaitingRequest, nowMs: number): number {
    const leftMs = this.#waiting.latestStartAgeMs(request) - (nowMs - arrivedMs);
    const latestMs = request.objectiveMs * LATE_BACKLOG_SHARE;
    return Math.max(latestMs, Math.min(leftMs, request.objectiveMs * LONG_BACKLOG_SHARE));
  }

  /** Backlogs shrink without an event, so requests that are held back for one are looked at again. */
  #scheduleRetry(): void {
    if (this.#isRetryScheduled) return;
    this.#isRetryScheduled = true;
    this.#after(BACKLOG_POLL_MS, () => {
      this.#isRetryScheduled = false;
      this.#placeAll();
    });
  }

  #grant(waiting: WaitingRequest, engine: EngineEntry, slot: AdapterSlot | undefined, nowMs: number): void {
    const { request } = waiting;
    this.#waiting.granted(request.id, nowMs);
    const { id, address } = engine.slots.backend;
    const aheadMs = engine.slots.backlog.remainingMs(nowMs);
    this.#logDecision('slot.granted', waiting, {
      engine: id,
      aheadMs: Math.round(aheadMs),
      running: engine.slots.running,
    });
    engine.slots.backlog.add(request.id, request.promptTokens, nowMs);
    this.#uses.begin(request.id, engine, slot);
    this.#releaseAfterTimeout(request.id, request.timeoutMs - request.ageMs);
    engine.rate.take();
    waiting.decide({ kind: 'granted', requestId: request.id, backendId: id, address, ...rateOf(engine) });
  }

  /** A user of a slot that vanished without a word must not keep it for ever. */
  #releaseAfterTimeout(requestId: string, leftMs: number): void {
    this.#after(Math.max(leftMs, 0) + LOST_RELEASE_MARGIN_MS, () => this.release(requestId, 'cancelled'));
  }

  /** The engine did not have what it was thought to have. */
  #handleMissing(entry: EngineEntry, slot: AdapterSlot | undefined, nowMs: number): void {
    if (slot !== undefined) {
      this.#adapters.handleMissing(entry, slot);
      return;
    }
    entry.lease.settle();
    entry.slots.avoidUntilMs = nowMs + AVOID_AFTER_FAILURE_MS;
  }

  // --- decisions ---------------------------------------------------------------------------------

  #refuse(waiting: WaitingRequest, reason: RefusalReason, retryAfterMs: number): void {
    const { promptKey, objectiveMs } = waiting.request;
    const ageMs = this.#options.clock.now() - waiting.arrivedMs;
    this.#logDecision('slot.refused', waiting, { reason, retryAfterMs: Math.round(retryAfterMs) });
    this.#refused.note(promptKey, ageMs <= objectiveMs * EARLY_REFUSAL_SHARE ? 'early' : 'late');
    waiting.decide({ kind: 'refused', requestId: waiting.request.id, reason, retryAfterMs });
  }

  /** One line for each decision about a request: its age, what it waited for, and what came of it. */
  #logDecision(event: string, waiting: WaitingRequest, fields: Record<string, string | number>): void {
    const { request, arrivedMs, obstacle, returned } = waiting;
    const ageMs = Math.round(this.#options.clock.now() - arrivedMs);
    const { traceId, adapter, promptTokens } = request;
    const described = { adapter, promptTokens, ageMs, obstacle, returned, ...fields };
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

/** What a grant tells of the engine's limit. */
function rateOf({ rate }: EngineEntry): { ratePerSecond?: number | null } {
  if (rate.rule !== undefined) return { ratePerSecond: rate.rule.ratePerSecond };
  return rate.hasEnded ? { ratePerSecond: null } : {};
}
