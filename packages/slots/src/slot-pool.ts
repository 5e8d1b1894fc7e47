import type { Clock, Timer } from '@canvasridge/clock';
import { adapterKey, type BackendDescription, type EngineProfile } from '@canvasridge/serving';
import type { Telemetry } from '@canvasridge/telemetry';
import { AdapterDemand } from './adapter-demand.js';
import type { AdapterMemory } from './adapter-memory.js';
import type { EngineControl, EngineReport } from './engine-control.js';
import { EngineSlots, type AdapterSlot } from './engine-slots.js';
import { chooseLoad, type LoadChoice, type LoadDemand } from './load-placement.js';
import { LoadTime } from './load-time.js';
import { OrderLease, type OrderHolder } from './order-lease.js';
import { RefusedRequests } from './refused-requests.js';
import type { SlotDecision, SlotRequest, UseOutcome } from './slot-request.js';
import { SlotTurnover } from './slot-turnover.js';
import { StoreLoadBudget } from './store-load-budget.js';
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
  /** Present guess of how long a fetch from the weight store takes. */
  readonly coldLoadMs: number;
  /** Mean time between two slots that become idle. */
  readonly gapMs: number;
}

/** Adapters that one engine is asked to fetch at the same time. */
const LOADS_PER_ENGINE = 3;
/** Fetches from the weight store at the same time; more of them slow each other down (measured: from 14 on). */
const FETCHES_AT_ONCE = 12;
/** Requests on one engine beyond which another copy of an adapter is worth its slot. */
const CROWDED_ENGINE = 40;
/** Time after which an adapter of an older version serves no new requests. */
const OUTDATED_GRACE_MS = 1500;
/** A refusal has to be known to the client within this part of its objective. */
const EARLY_REFUSAL_SHARE = 0.2;
/** A refusal up to this part of the objective counts as early. */
const EARLY_SHARE = 0.25;
/** Part of its time after which a request that still waits is given up: what is left has to be of use elsewhere. */
const LONGEST_WAIT_SHARE = 0.97;
const AVOID_AFTER_FAILURE_MS = 1500;
const RETRY_PRESENCE_MS = 50;
/** An adapter that a report shows on its way is tried after this time. */
const ADOPTED_ARRIVAL_MS = 150;
/** A load that is late beyond this many times its guess is looked up in a report. */
const LOST_ADAPTER_MS = 2500;
const RETRY_WITHOUT_ENGINE_MS = 1000;
/** Prompt work that weighs as much as one more running request. */
const WORK_PER_RUNNING_MS = 25;

interface EngineEntry {
  readonly slots: EngineSlots;
  readonly lease: OrderLease;
}

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
  readonly #coldTime: LoadTime;
  readonly #warmTime: LoadTime;
  readonly #timers = new Set<Timer>();
  readonly #storeLoads: StoreLoadBudget;
  readonly #refused: RefusedRequests;
  #closed = false;

  constructor(options: SlotPoolOptions) {
    this.#options = options;
    this.#demand = new AdapterDemand(options.clock);
    this.#turnover = new SlotTurnover(options.clock);
    this.#coldTime = new LoadTime(options.clock, options.timing.coldLoadMs);
    this.#warmTime = new LoadTime(options.clock, options.timing.warmLoadMs);
    this.#storeLoads = new StoreLoadBudget(options.clock);
    this.#refused = new RefusedRequests(options.clock);
  }

  /** Takes over the published list of engines. */
  setEngines(backends: readonly BackendDescription[], profile: EngineProfile): void {
    const listed = new Set(backends.map((backend) => backend.id));
    for (const [id, entry] of this.#engines) {
      if (listed.has(id)) continue;
      entry.lease.close();
      this.#engines.delete(id);
    }
    this.#storeLoads.setRate(profile.storeLoadsPerSecond);
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
    const untilGivenUpMs = request.timeoutMs * LONGEST_WAIT_SHARE - request.ageMs;
    this.#after(Math.max(untilGivenUpMs, 1), () => this.#giveUp(request.id));
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
      if (outcome === 'not-present') this.#notPresent(entry, use, nowMs);
      else if (outcome === 'failed' || outcome === 'refused') {
        entry.slots.avoidUntilMs = nowMs + AVOID_AFTER_FAILURE_MS;
      } else if (outcome === 'served' && use.slot !== undefined) this.#loadWasLongEnough(use);
    }
    this.schedule();
  }

  /** Gives what waits to what is free. Called after every change. */
  schedule(): void {
    if (this.#closed) return;
    const nowMs = this.#options.clock.now();
    for (const waiting of this.#waiting.inOrder(nowMs)) this.#place(waiting, nowMs);
    this.#loadMissingModels();
  }

  /** Figures for logs and metrics. */
  describe(): PoolFigures {
    let held = 0;
    for (const { lease } of this.#engines.values()) if (lease.held) held += 1;
    return {
      engines: this.#engines.size,
      held,
      waiting: this.#waiting.size,
      running: this.#uses.size,
      coldLoadMs: Math.round(this.#coldTime.guessMs),
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
    if (engine !== undefined && engine.slots.running < CROWDED_ENGINE) {
      this.#grant(waiting, engine, engine.slots.get(key), nowMs);
      return;
    }
    if (!this.#isLoading(key, request.excluded))
      this.#startLoad(request.model, request.adapter, waiting, nowMs);
    if (engine !== undefined && engine.slots.running < engine.slots.backend.slots) {
      this.#grant(waiting, engine, engine.slots.get(key), nowMs);
    }
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
    return backend.state === 'ready' && !request.excluded.includes(backend.id);
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

  #startLoad(model: string, adapter: string, waiting: WaitingRequest, nowMs: number): void {
    const { request } = waiting;
    const key = adapterKey(model, adapter);
    const { memory } = this.#options;
    const able: EngineSlots[] = [];
    const homes: EngineSlots[] = [];
    for (const entry of this.#engines.values()) {
      const { slots, lease } = entry;
      if (!this.#isServing(entry, request) || !lease.held || !slots.models.has(model)) continue;
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
      mayFetch: this.#fetches() < FETCHES_AT_ONCE,
      coldLoadMs: this.#coldTime.guessMs,
      warmLoadMs: this.#warmTime.guessMs,
    };
    const choice = chooseLoad(able, homes, demand, this.#demand, memory);
    const entry = choice === undefined ? undefined : this.#engines.get(choice.slots.backend.id);
    if (choice !== undefined && entry !== undefined) void this.#replace(entry, choice, model, adapter);
  }

  /** Loads an adapter, in place of another one if need be. Its slot is taken from the first moment on. */
  async #replace(entry: EngineEntry, choice: LoadChoice, model: string, adapter: string): Promise<void> {
    const { slots, lease } = entry;
    const { victim, warm } = choice;
    const { clock, memory, adapterVersion } = this.#options;
    if (victim !== undefined) victim.state = 'unloading';
    const isNewVersion = victim !== undefined && victim.model === model && victim.adapter === adapter;
    const early = isNewVersion ? undefined : slots.reserve(model, adapter, 0, warm, clock.now());
    if (victim !== undefined && !(await this.#makeWay(entry, victim))) {
      if (early !== undefined) slots.removeIfSame(early);
      return;
    }
    const slot = early ?? slots.reserve(model, adapter, 0, warm, clock.now());
    // A report that was read meanwhile may have changed what is here.
    if (slots.get(slot.key) !== slot || !slots.isWithinLimits()) {
      slots.removeIfSame(slot);
      this.schedule();
      return;
    }
    slot.version = adapterVersion(model, adapter);
    slot.orderedMs = clock.now();
    const reply = await lease.order({ action: 'load', model, adapter });
    if (reply.kind === 'accepted' || reply.kind === 'done') {
      memory.note(slots.backend.id, slot.key);
      const guessMs = slot.warm ? this.#warmTime.guessMs : this.#coldTime.guessMs;
      const leftMs = reply.kind === 'done' ? 0 : slot.orderedMs + guessMs - clock.now();
      this.#after(Math.max(leftMs, 0), () => this.#arrived(slot));
    } else if (reply.kind !== 'unknown') {
      slots.removeIfSame(slot);
      this.schedule();
    }
  }

  /** Unloads an adapter. Returns whether it is gone. */
  async #makeWay(entry: EngineEntry, victim: AdapterSlot): Promise<boolean> {
    const { slots, lease } = entry;
    const reply = await lease.order({ action: 'unload', model: victim.model, adapter: victim.adapter });
    if (reply.kind === 'done') {
      slots.removeIfSame(victim);
      return true;
    }
    if (reply.kind === 'not-held') victim.state = 'loaded';
    // Still in use, or its fate is unknown: it takes its slot until a report shows otherwise.
    else lease.settle();
    return false;
  }

  /** Fetches from the weight store under way, on all engines. */
  #fetches(): number {
    let count = 0;
    for (const { slots } of this.#engines.values()) {
      for (const slot of slots.slots.values()) if (slot.state === 'loading' && !slot.warm) count += 1;
    }
    return count;
  }

  #arrived(slot: AdapterSlot): void {
    if (slot.state !== 'loading') return;
    slot.state = 'loaded';
    this.schedule();
  }

  #loadWasLongEnough(use: Use): void {
    const { slot } = use;
    if (slot === undefined) return;
    slot.confirmed = true;
    if (slot.orderedMs === 0) return;
    (slot.warm ? this.#warmTime : this.#coldTime).longEnough();
    slot.orderedMs = 0;
  }

  /** The engine did not have what it was thought to have: too early, or it lost it. */
  #notPresent(entry: EngineEntry, use: Use, nowMs: number): void {
    const { slot } = use;
    if (slot === undefined) {
      entry.lease.settle();
      entry.slots.avoidUntilMs = nowMs + AVOID_AFTER_FAILURE_MS;
      return;
    }
    if (entry.slots.get(slot.key) !== slot || slot.state !== 'loaded') return;
    const isRecent = slot.orderedMs > 0 && nowMs - slot.orderedMs < LOST_ADAPTER_MS;
    if (!isRecent) {
      slot.state = 'unloading';
      entry.lease.settle();
      return;
    }
    slot.state = 'loading';
    if (slot.warm) {
      // It was not in the engine's memory after all, and is being fetched.
      slot.warm = false;
      const leftMs = slot.orderedMs + this.#coldTime.guessMs - nowMs;
      this.#after(Math.max(leftMs, RETRY_PRESENCE_MS), () => this.#arrived(slot));
      return;
    }
    this.#coldTime.tooShort();
    this.#after(RETRY_PRESENCE_MS, () => this.#arrived(slot));
  }

  #loadMissingModels(): void {
    for (const { slots, lease } of this.#engines.values()) {
      if (!lease.held || slots.busy || slots.models.size > 0 || slots.backend.state !== 'ready') continue;
      const model = this.#scarcestModel(slots.profile);
      if (model === undefined || !this.#storeLoads.take()) continue;
      slots.busy = true;
      void lease
        .order({ action: 'load', model, adapter: undefined })
        .then(() => this.#pollModel(slots, lease));
    }
  }

  #pollModel(slots: EngineSlots, lease: OrderLease): void {
    this.#after(this.#options.timing.observePeriodMs, () => {
      if (slots.busy) {
        lease.settle();
        this.#pollModel(slots, lease);
      } else this.schedule();
    });
  }

  #scarcestModel(profile: EngineProfile): string | undefined {
    let scarcest: string | undefined;
    let fewest = Infinity;
    for (const { name, sizeMb } of profile.models) {
      if (sizeMb > profile.memoryMb) continue;
      let holders = 0;
      for (const { slots } of this.#engines.values()) if (slots.models.has(name)) holders += 1;
      if (holders >= fewest) continue;
      scarcest = name;
      fewest = holders;
    }
    return scarcest;
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
    const ahead = this.#waiting.inOrder(nowMs).indexOf(waiting);
    const waitMs = (ahead + 1) * this.#turnover.meanGapMs() + this.#coldTime.guessMs;
    if (nowMs - waiting.arrivedMs + waitMs <= request.objectiveMs * USEFUL_SHARE) return;
    this.#waiting.remove(requestId);
    this.#refuse(waiting, 'no-slot-in-time', waitMs);
  }

  #giveUp(requestId: string): void {
    const waiting = this.#waiting.remove(requestId);
    if (waiting !== undefined) this.#refuse(waiting, 'no-slot-in-time', RETRY_WITHOUT_ENGINE_MS);
  }

  #hasEngines(request: SlotRequest): boolean {
    for (const entry of this.#engines.values()) {
      if (entry.slots.models.has(request.model) && entry.slots.backend.state === 'ready') return true;
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

  // --- engines -----------------------------------------------------------------------------------

  #addEngine(backend: BackendDescription, profile: EngineProfile): void {
    const slots = new EngineSlots(backend, profile);
    const { clock, control, timing, holder, telemetry } = this.#options;
    const { mayOrder, mayObserve, mayTakeUnused } = this.#options;
    const onReport = (report: EngineReport): void => {
      slots.adopt(report, clock.now());
      this.#awaitPending(slots);
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
      mayObserve,
      mayTakeUnused,
      onReport,
    });
    this.#engines.set(backend.id, { slots, lease });
  }

  /** Adapters that a report shows on their way arrive without an order from here. */
  #awaitPending(slots: EngineSlots): void {
    for (const slot of slots.slots.values()) {
      if (slot.state === 'loading') this.#after(ADOPTED_ARRIVAL_MS, () => this.#arrived(slot));
    }
  }

  #after(delayMs: number, action: () => void): void {
    const timer = this.#options.clock.setTimer(delayMs, () => {
      this.#timers.delete(timer);
      if (!this.#closed) action();
    });
    this.#timers.add(timer);
  }
}
