import type { Clock, Timer } from '@canvasridge/clock';
import { adapterKey, type BackendDescription, type EngineProfile } from '@canvasridge/serving';
import type { Telemetry } from '@canvasridge/telemetry';
import { AdapterDemand } from './adapter-demand.js';
import { AdapterLoader } from './adapter-loader.js';
import type { AdapterMemory } from './adapter-memory.js';
import type { EngineControl, EngineReport } from './engine-control.js';
import type { EngineEntry } from './engine-entry.js';
import { EngineSlots, type AdapterSlot } from './engine-slots.js';
import { chooseLoad, type LoadDemand } from './load-placement.js';
import { ModelLoader } from './model-loader.js';
import { OrderLease, type OrderHolder } from './order-lease.js';
import { RefusedRequests } from './refused-requests.js';
import type { SlotDecision, SlotRequest, UseOutcome } from './slot-request.js';
import { SlotTurnover } from './slot-turnover.js';
import type { SlotTiming } from './timing.js';
import { USEFUL_SHARE, WaitingList, type WaitingRequest } from './waiting-list.js';

export interface SlotPoolOptions {
  readonly service: string;
  readonly clock: Clock;
  readonly control: EngineControl;
  readonly timing: SlotTiming;
  readonly holder: OrderHolder;
  readonly telemetry: Telemetry;
  readonly mayOrder: () => boolean;
  readonly mayObserve: () => boolean;
  /** Whether an engine that never took an order can be taken at once, as no other node can lead. */
  readonly mayTakeUnused: () => boolean;
  readonly memory: AdapterMemory;
  /** The version of an adapter that was published, 0 if none was. */
  readonly adapterVersion: (model: string, adapter: string) => number;
}

/** Figures of a pool for logs and metrics. */
export interface PoolFigures {
  readonly engines: number;
  readonly held: number;
  readonly waiting: number;
  readonly running: number;
  /** Adapters with requests, without, and on their way. */
  readonly slotsInUse: number;
  readonly slotsIdle: number;
  readonly slotsLoading: number;
  /** Longest and shortest backlog of prompts of an engine. */
  readonly mostBacklogMs: number;
  readonly leastBacklogMs: number;
  /** Present guess of how long a fetch from the weight store takes. */
  readonly coldLoadMs: number;
  /** Mean time between two slots that become idle. */
  readonly gapMs: number;
}

/** Adapters that one engine is asked to fetch at the same time. */
const LOADS_PER_ENGINE = 3;
/** Fetches from the weight store at the same time; more of them slow each other down (measured: from 14 on). */
const FETCHES_AT_ONCE = 12;
/** Requests on one engine beyond which it takes more only when no other engine gets the adapter: its memory fills up. */
const CROWDED_ENGINE = 40;
/** Prompts ahead of a request, in ms, up to which no other engine is looked for. */
const SHORT_BACKLOG_MS = 150;
/** Prompts ahead, in ms, from which a request waits here, where it can still go to another engine. */
const LONG_BACKLOG_MS = 450;
/** How long after a request was held back for a long backlog it is looked at again. */
const BACKLOG_POLL_MS = 40;
/** Time after which an adapter of an older version serves no new requests. */
const OUTDATED_GRACE_MS = 1500;
/** A refusal has to be known to the client within this part of its objective. */
const EARLY_REFUSAL_SHARE = 0.2;
/** A refusal up to this part of the objective counts as early. */
const EARLY_SHARE = 0.25;
/** Part of its time after which a request is given up if it is not likely to run in what is left. */
const HALFWAY_SHARE = 0.45;
/** Part of its time after which a request that still waits is given up: what is left has to be of use elsewhere. */
const LONGEST_WAIT_SHARE = 0.97;
const AVOID_AFTER_FAILURE_MS = 1500;
const RETRY_WITHOUT_ENGINE_MS = 1000;
/** How long an engine that left the list is remembered. */
const KEPT_UNLISTED_MS = 8000;
/** A wait is short if it takes up to this part of what is left of a request's time. */
const SOON_SHARE = 0.5;
/** Prompt work that weighs as much as one more running request. */
const WORK_PER_RUNNING_MS = 25;

interface Use {
  readonly engineId: string;
  readonly slot: AdapterSlot | undefined;
  readonly startedMs: number;
}

/**
 * Hands out the adapter slots of all engines of one service, and orders loads and unloads for the requests
 * that wait. One node runs it at a time; what it grants is kept in memory only.
 */
export class SlotPool {
  readonly #options: SlotPoolOptions;
  readonly #engines = new Map<string, EngineEntry>();
  readonly #waiting = new WaitingList();
  readonly #uses = new Map<string, Use>();
  readonly #demand: AdapterDemand;
  readonly #turnover: SlotTurnover;
  readonly #adapters: AdapterLoader;
  readonly #models: ModelLoader;
  readonly #timers = new Set<Timer>();
  readonly #refused: RefusedRequests;
  #looksAgain = false;
  #closed = false;

  constructor(options: SlotPoolOptions) {
    this.#options = options;
    this.#demand = new AdapterDemand(options.clock);
    this.#turnover = new SlotTurnover(options.clock);
    const { clock, timing, memory, adapterVersion } = options;
    const after = (delayMs: number, action: () => void): void => this.#after(delayMs, action);
    const onChange = (): void => this.schedule();
    this.#adapters = new AdapterLoader({ clock, timing, memory, adapterVersion, after, onChange });
    const engines = (): Iterable<EngineEntry> => this.#listed();
    this.#models = new ModelLoader({ clock, engines, pollMs: timing.observePeriodMs, after, onChange });
    this.#refused = new RefusedRequests(options.clock);
  }

  /** Takes over the published list of engines. */
  setEngines(backends: readonly BackendDescription[], profile: EngineProfile): void {
    const listed = new Set(backends.map((backend) => backend.id));
    for (const [id, entry] of this.#engines) {
      if (listed.has(id)) entry.unlistedSinceMs = undefined;
      else if (entry.unlistedSinceMs === undefined) this.#unlist(id, entry);
    }
    this.#models.setRate(profile.storeLoadsPerSecond);
    for (const backend of backends) {
      const entry = this.#engines.get(backend.id);
      if (entry === undefined) this.#addEngine(backend, profile);
      else {
        entry.slots.backend = backend;
        entry.slots.profile = profile;
      }
    }
    this.schedule();
  }

  /** This node leads the pool from now on: leases that were observed long enough are taken at once. */
  lead(): void {
    for (const { lease } of this.#engines.values()) lease.wake();
  }

  /** Ends the lease of every engine until it has been observed again. */
  resetLeases(reason: string): void {
    for (const { lease } of this.#engines.values()) lease.reset(reason);
  }

  /** Answers everything that waits with a refusal and stops. */
  close(): void {
    this.#closed = true;
    for (const entry of this.#engines.values()) entry.lease.close();
    for (const timer of this.#timers) timer.cancel();
    for (const waiting of this.#waiting.all()) this.#refuse(waiting, 'stopping', 0);
  }

  /** Asks for an engine; `decide` is called once, maybe before this returns. */
  acquire(request: SlotRequest, decide: (decision: SlotDecision) => void): void {
    const nowMs = this.#options.clock.now();
    const refusal = this.#refused.take(request.promptKey);
    // One that was refused late can't be answered in time any more, whatever its new attempt says.
    const lostMs = refusal === 'late' ? request.objectiveMs : 0;
    const arrivedMs = nowMs - request.ageMs - lostMs;
    const waiting: WaitingRequest = { request, arrivedMs, returned: refusal !== undefined, decide };
    if (this.#closed) {
      this.#refuse(waiting, 'stopping', 0);
      return;
    }
    if (request.adapter !== undefined) this.#demand.count(adapterKey(request.model, request.adapter));
    this.#waiting.add(waiting);
    this.schedule();
    if (this.#waiting.get(request.id) === undefined) return;
    const untilEarlyMs = request.objectiveMs * EARLY_REFUSAL_SHARE - request.ageMs;
    this.#after(Math.max(untilEarlyMs, 1), () => this.#refuseIfHopeless(request.id));
    this.#afterAge(request, HALFWAY_SHARE, () => this.#giveUpIfHopeless(request.id));
    this.#afterAge(request, LONGEST_WAIT_SHARE, () => this.#giveUp(request.id));
  }

  /** Calls back when a part of a request's time is over. */
  #afterAge(request: SlotRequest, share: number, action: () => void): void {
    this.#after(Math.max(request.timeoutMs * share - request.ageMs, 1), action);
  }

  /** The client went away, or the request is served in another way. */
  cancel(requestId: string): void {
    this.#waiting.remove(requestId);
  }

  /** A granted request has ended. */
  release(requestId: string, outcome: UseOutcome): void {
    const use = this.#uses.get(requestId);
    if (use === undefined) return;
    this.#uses.delete(requestId);
    const nowMs = this.#options.clock.now();
    const entry = this.#engines.get(use.engineId);
    if (use.slot !== undefined) this.#endSlotUse(use.slot, nowMs);
    if (entry !== undefined) {
      entry.slots.running -= 1;
      if (outcome === 'not-present') this.#notPresent(entry, use.slot, nowMs);
      else if (outcome === 'failed' || outcome === 'refused') {
        entry.slots.avoidUntilMs = nowMs + AVOID_AFTER_FAILURE_MS;
      } else if (outcome === 'served' && use.slot !== undefined) this.#adapters.served(use.slot);
    }
    this.schedule();
  }

  /** Gives what waits to what is free. Called after every change. */
  schedule(): void {
    if (this.#closed) return;
    const nowMs = this.#options.clock.now();
    for (const waiting of this.#waiting.inOrder(nowMs)) this.#place(waiting, nowMs);
    this.#models.loadMissing();
  }

  /** Figures for logs and metrics. */
  describe(): PoolFigures {
    const nowMs = this.#options.clock.now();
    const entries = this.#listed();
    const held = entries.filter(({ lease }) => lease.held).length;
    const slots = entries.flatMap((entry) => [...entry.slots.slots.values()]);
    const backlogs = entries.map((entry) => Math.round(entry.slots.workMs(nowMs)));
    return {
      engines: entries.length,
      held,
      waiting: this.#waiting.size,
      running: this.#uses.size,
      slotsInUse: slots.filter((slot) => slot.users > 0).length,
      slotsIdle: slots.filter((slot) => slot.users === 0 && slot.state === 'loaded').length,
      slotsLoading: slots.filter((slot) => slot.state === 'loading').length,
      mostBacklogMs: Math.max(0, ...backlogs),
      leastBacklogMs: backlogs.length === 0 ? 0 : Math.min(...backlogs),
      coldLoadMs: Math.round(this.#adapters.coldLoadMs),
      gapMs: Math.round(this.#turnover.meanGapMs()),
    };
  }

  // --- grants ------------------------------------------------------------------------------------

  #place(waiting: WaitingRequest, nowMs: number): void {
    const { request } = waiting;
    if (request.adapter === undefined) {
      const engine = this.#leastBusy(
        request,
        nowMs,
        (entry) => entry.slots.models.has(request.model) && !entry.slots.busy,
      );
      if (engine !== undefined) this.#grant(waiting, engine, undefined, nowMs);
      return;
    }
    const key = adapterKey(request.model, request.adapter);
    const engine = this.#leastBusy(request, nowMs, (entry) => {
      const slot = entry.slots.get(key);
      return slot !== undefined && this.#isUsable(slot, nowMs);
    });
    const backlogMs = engine === undefined ? Infinity : this.#backlogMs(engine, nowMs);
    if (engine !== undefined && backlogMs <= SHORT_BACKLOG_MS) {
      this.#grant(waiting, engine, engine.slots.get(key), nowMs);
      return;
    }
    if (!this.#isLoading(key, request.excluded))
      this.#startLoad(request.model, request.adapter, waiting, backlogMs, nowMs);
    if (engine === undefined) return;
    if (backlogMs > LONG_BACKLOG_MS) {
      this.#lookAgainLater();
      return;
    }
    this.#grant(waiting, engine, engine.slots.get(key), nowMs);
  }

  /** How long an engine is busy with the prompts before a new one; a full engine counts as busy for long. */
  #backlogMs(entry: EngineEntry, nowMs: number): number {
    const { slots } = entry;
    if (slots.running >= slots.backend.slots) return Infinity;
    const crowdedMs = slots.running < CROWDED_ENGINE ? 0 : SHORT_BACKLOG_MS + 1;
    return Math.max(slots.workMs(nowMs), crowdedMs);
  }

  /** Backlogs shrink without an event, so requests that are held back for one are looked at again. */
  #lookAgainLater(): void {
    if (this.#looksAgain) return;
    this.#looksAgain = true;
    this.#after(BACKLOG_POLL_MS, () => {
      this.#looksAgain = false;
      this.schedule();
    });
  }

  #grant(waiting: WaitingRequest, engine: EngineEntry, slot: AdapterSlot | undefined, nowMs: number): void {
    const { request } = waiting;
    this.#waiting.remove(request.id);
    engine.slots.running += 1;
    engine.slots.addWork(request.tokens, nowMs);
    if (slot !== undefined) {
      slot.users += 1;
      slot.lastUsedMs = nowMs;
      this.#options.memory.note(engine.slots.backend.id, slot.key);
    }
    const { id, address } = engine.slots.backend;
    this.#uses.set(request.id, { engineId: id, slot, startedMs: nowMs });
    // A holder of the slot that vanished without a word must not keep it for ever.
    this.#after(Math.max(request.timeoutMs - request.ageMs, 0) + 1000, () =>
      this.release(request.id, 'cancelled'),
    );
    waiting.decide({ kind: 'granted', requestId: request.id, backendId: id, address });
  }

  #leastBusy(
    request: SlotRequest,
    nowMs: number,
    suits: (entry: EngineEntry) => boolean,
  ): EngineEntry | undefined {
    let best: EngineEntry | undefined;
    for (const entry of this.#engines.values()) {
      if (!this.#isServing(entry, request) || !suits(entry)) continue;
      if (best === undefined || this.#load(entry, nowMs) < this.#load(best, nowMs)) best = entry;
    }
    return best;
  }

  #load(entry: EngineEntry, nowMs: number): number {
    const avoided = entry.slots.avoidUntilMs > nowMs ? CROWDED_ENGINE / 2 : 0;
    return entry.slots.running + avoided + entry.slots.workMs(nowMs) / WORK_PER_RUNNING_MS;
  }

  #isServing(entry: EngineEntry, request: SlotRequest): boolean {
    const { backend } = entry.slots;
    return (
      entry.unlistedSinceMs === undefined &&
      backend.state === 'ready' &&
      !request.excluded.includes(backend.id)
    );
  }

  /** An adapter whose version was overtaken serves on for a short while, until a newer one is loaded. */
  #isUsable(slot: AdapterSlot, nowMs: number): boolean {
    if (slot.state !== 'loaded') return false;
    const published = this.#options.adapterVersion(slot.model, slot.adapter);
    if (slot.version >= published) return true;
    if (slot.outdatedSinceMs === 0) slot.outdatedSinceMs = nowMs;
    return slot.users > 0 && nowMs - slot.outdatedSinceMs < OUTDATED_GRACE_MS;
  }

  #isLoading(key: string, excluded: readonly string[]): boolean {
    for (const { slots } of this.#engines.values()) {
      if (slots.get(key)?.state === 'loading' && !excluded.includes(slots.backend.id)) return true;
    }
    return false;
  }

  #endSlotUse(slot: AdapterSlot, nowMs: number): void {
    slot.users -= 1;
    slot.lastUsedMs = nowMs;
    if (slot.users === 0) this.#turnover.freed();
  }

  // --- loads -------------------------------------------------------------------------------------

  /** @param backlogMs the shortest backlog of an engine that has the adapter: a copy must be quicker */
  #startLoad(
    model: string,
    adapter: string,
    waiting: WaitingRequest,
    backlogMs: number,
    nowMs: number,
  ): void {
    const { request } = waiting;
    const key = adapterKey(model, adapter);
    const { memory } = this.#options;
    const able: EngineSlots[] = [];
    const homes: EngineSlots[] = [];
    for (const entry of this.#engines.values()) {
      const { slots, lease } = entry;
      if (!this.#isServing(entry, request) || !lease.held || !slots.models.has(model)) continue;
      if (this.#holds(entry, key)) continue;
      if (memory.has(slots.backend.id, key)) homes.push(slots);
      if (!slots.busy && slots.avoidUntilMs <= nowMs && slots.loadingCount < LOADS_PER_ENGINE)
        able.push(slots);
    }
    const demand: LoadDemand = {
      model,
      key,
      nowMs,
      ageMs: nowMs - waiting.arrivedMs,
      objectiveMs: request.objectiveMs,
      quickerThanMs: backlogMs,
      mayFetch: this.#fetches() < FETCHES_AT_ONCE,
      coldLoadMs: this.#adapters.coldLoadMs,
      warmLoadMs: this.#adapters.warmLoadMs,
    };
    const choice = chooseLoad(able, homes, demand, this.#demand, memory);
    const entry = choice === undefined ? undefined : this.#engines.get(choice.slots.backend.id);
    if (choice !== undefined && entry !== undefined) void this.#adapters.load(entry, choice, model, adapter);
  }

  /** Whether an engine has an adapter that is still good, so that another load there adds nothing. */
  #holds(entry: EngineEntry, key: string): boolean {
    const slot = entry.slots.get(key);
    if (slot === undefined || slot.state !== 'loaded') return false;
    return slot.version >= this.#options.adapterVersion(slot.model, slot.adapter);
  }

  /** Fetches from the weight store under way, on all engines. */
  #fetches(): number {
    let count = 0;
    for (const { slots } of this.#engines.values()) {
      for (const slot of slots.slots.values()) if (slot.state === 'loading' && !slot.warm) count += 1;
    }
    return count;
  }

  /** The engine did not have what it was thought to have. */
  #notPresent(entry: EngineEntry, slot: AdapterSlot | undefined, nowMs: number): void {
    if (slot !== undefined) {
      this.#adapters.missing(entry, slot);
      return;
    }
    entry.lease.settle();
    entry.slots.avoidUntilMs = nowMs + AVOID_AFTER_FAILURE_MS;
  }

  // --- refusals ----------------------------------------------------------------------------------

  /** Refuses a request while that is early enough, if it is not likely to get a slot within its objective. */
  #refuseIfHopeless(requestId: string): void {
    const waiting = this.#waiting.get(requestId);
    if (waiting === undefined) return;
    const { request } = waiting;
    if (waiting.returned) return;
    if (!this.#hasEngines(request)) {
      this.#waiting.remove(requestId);
      this.#refuse(waiting, 'no-engine', RETRY_WITHOUT_ENGINE_MS);
      return;
    }
    if (request.adapter !== undefined && this.#isLoading(adapterKey(request.model, request.adapter), []))
      return;
    const nowMs = this.#options.clock.now();
    const waitMs = this.#expectedWaitMs(waiting);
    if (nowMs - waiting.arrivedMs + waitMs <= request.objectiveMs * USEFUL_SHARE) return;
    this.#waiting.remove(requestId);
    this.#refuse(waiting, 'no-slot-in-time', waitMs);
  }

  /**
   * Gives a late request up while the client still has time for another attempt, unless its turn comes soon.
   * To hold it to its end and fail then is the worst for the client.
   */
  #giveUpIfHopeless(requestId: string): void {
    const waiting = this.#waiting.get(requestId);
    if (waiting === undefined) return;
    const { request } = waiting;
    if (request.adapter !== undefined && this.#isLoading(adapterKey(request.model, request.adapter), []))
      return;
    const leftMs = request.timeoutMs * (LONGEST_WAIT_SHARE - HALFWAY_SHARE);
    if (this.#expectedWaitMs(waiting) > leftMs * SOON_SHARE) this.#giveUp(requestId);
  }

  /** How long until the turn of a request that waits, and its load. */
  #expectedWaitMs(waiting: WaitingRequest): number {
    const ahead = this.#waiting.inOrder(this.#options.clock.now()).indexOf(waiting);
    const turnMs = (ahead + 1) * this.#turnover.meanGapMs();
    return Math.max(turnMs, this.#untilFirstOrderMs()) + this.#adapters.coldLoadMs;
  }

  /** How long until this node may load adapters on any engine; 0 while no engine is listed. */
  #untilFirstOrderMs(): number {
    const untilMs = Math.min(...this.#listed().map(({ lease }) => lease.heldInMs));
    return Number.isFinite(untilMs) ? untilMs : 0;
  }

  #giveUp(requestId: string): void {
    const waiting = this.#waiting.remove(requestId);
    if (waiting !== undefined) this.#refuse(waiting, 'no-slot-in-time', RETRY_WITHOUT_ENGINE_MS);
  }

  #hasEngines(request: SlotRequest): boolean {
    for (const entry of this.#engines.values()) {
      const { models, backend } = entry.slots;
      if (entry.unlistedSinceMs !== undefined) continue;
      if (models.has(request.model) && backend.state === 'ready') return true;
    }
    return false;
  }

  #refuse(
    waiting: WaitingRequest,
    reason: 'no-slot-in-time' | 'no-engine' | 'stopping',
    retryAfterMs: number,
  ): void {
    const { promptKey, objectiveMs } = waiting.request;
    const ageMs = this.#options.clock.now() - waiting.arrivedMs;
    this.#refused.note(promptKey, ageMs <= objectiveMs * EARLY_SHARE ? 'early' : 'late');
    waiting.decide({ kind: 'refused', requestId: waiting.request.id, reason, retryAfterMs });
  }

  #listed(): EngineEntry[] {
    return [...this.#engines.values()].filter((entry) => entry.unlistedSinceMs === undefined);
  }

  /**
   * Keeps an engine that is not listed any more for a while, without giving it work: entries also lapse while
   * the publishing store is away, and the right to order would have to be observed anew when they are back.
   */
  #unlist(id: string, entry: EngineEntry): void {
    const sinceMs = this.#options.clock.now();
    entry.unlistedSinceMs = sinceMs;
    this.#after(KEPT_UNLISTED_MS, () => {
      if (entry.unlistedSinceMs !== sinceMs) return;
      entry.lease.close();
      this.#engines.delete(id);
    });
  }

  // --- engines -----------------------------------------------------------------------------------

  #addEngine(backend: BackendDescription, profile: EngineProfile): void {
    const slots = new EngineSlots(backend, profile);
    const { clock, control, timing, holder, telemetry } = this.#options;
    const { mayOrder, mayObserve, mayTakeUnused } = this.#options;
    const onReport = (report: EngineReport): void => {
      slots.adopt(report, clock.now());
      this.#adapters.awaitPending(slots);
      this.schedule();
    };
    const lease = new OrderLease({
      backend,
      control,
      clock,
      timing,
      holder,
      telemetry,
      mayOrder,
      mayObserve: () => mayObserve() && this.#engines.get(backend.id)?.unlistedSinceMs === undefined,
      mayTakeUnused,
      onReport,
    });
    const entry: EngineEntry = { slots, lease, unlistedSinceMs: undefined };
    this.#engines.set(backend.id, entry);
  }

  #after(delayMs: number, action: () => void): void {
    const timer = this.#options.clock.setTimer(delayMs, () => {
      this.#timers.delete(timer);
      if (!this.#closed) action();
    });
    this.#timers.add(timer);
  }
}
