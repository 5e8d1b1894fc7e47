import type { Clock } from '@canvasridge/clock';
import {
  adapterVersionKey,
  type EngineDefinition,
  type EngineError,
  type GenerationEnd,
  type StreamSink,
} from '@canvasridge/domain';
import type { TakeoverState } from '@canvasridge/ownership';
import { DemandTracker, type EvictionCandidate } from '@canvasridge/placement';
import { keepRunning, runInBackground } from '@canvasridge/telemetry';
import { err, ok, type Result } from 'neverthrow';
import { AdapterLoader, type LoadOutcome } from './adapter-loader.js';
import type { EngineSchedulerOptions, EngineWork, SchedulerError } from './engine-work.js';
import { isIdle, type Slot } from './slot.js';
import { SlotSet } from './slot-set.js';
import { TicketQueue, type Ticket, type WaitOutcome } from './ticket-queue.js';

/** Half-life of the counters that estimate the demand for each adapter. */
const DEMAND_HALF_LIFE_MS = 30_000;
const REPORT_PERIOD_MS = 700;
/** Pause before pinned adapters are loaded again after a failed load. */
const PIN_RETRY_MS = 10_000;
/** Requests sent beyond the batch size, so that the engine always has the next one at hand. */
const PIPELINE_MARGIN = 2;

/** Resolution of a request's wait in the queue. */
interface WaitEnd {
  readonly outcome: WaitOutcome;
  readonly ticket: Ticket;
}

/**
 * Schedules all work for one engine that this node owns: queues requests by adapter, keeps the engine's batch
 * full, and loads and unloads adapters. Only the owner sends requests to an engine, so the owner itself
 * counts what is in flight (apart from `UntrackedWork`) and never unloads an adapter that is serving a
 * request.
 */
export class EngineScheduler {
  readonly engine: EngineDefinition;
  readonly #options: EngineSchedulerOptions;
  readonly #clock: Clock;
  readonly #queue: TicketQueue;
  readonly #slots: SlotSet;
  readonly #loader: AdapterLoader;
  readonly #demand: DemandTracker;
  #inFlight = 0;
  #pollingReports = false;
  #pinRetryAtMs = 0;
  /**
   * Whether `#updateDraining` has to run: set after loads, claims and configuration changes, and while a slot
   * drains.
   */
  #drainingCheckNeeded = true;

  constructor(options: EngineSchedulerOptions) {
    this.engine = options.engine;
    this.#options = options;
    this.#clock = options.clock;
    this.#queue = new TicketQueue(options.clock);
    this.#slots = new SlotSet(options.engine.slots);
    this.#demand = new DemandTracker(options.clock, DEMAND_HALF_LIFE_MS);
    this.#loader = new AdapterLoader({
      ...options,
      slots: this.#slots,
      waitingWeight: (key) => this.#waitingWeight(key),
      evictionCandidate: (slot) => this.#evictionCandidate(slot),
      onLoadEnd: (key, outcome, tookMs) => this.#onLoadEnd(key, outcome, tookMs),
    });
  }

  /** Number of requests sent to the engine and not yet ended. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Number of requests waiting in the queue. */
  get queued(): number {
    return this.#queue.length;
  }

  /** Number of slots that are empty or idle, so that another adapter can be loaded into them. */
  get reclaimableSlots(): number {
    return this.#slots.reclaimable;
  }

  slots(): readonly Slot[] {
    return this.#slots.all();
  }

  adapterState(key: string): 'loaded' | 'loading' | 'absent' {
    const slot = this.#slots.get(key);
    if (slot?.state === 'ready') return 'loaded';
    return slot !== undefined || this.#loader.isLoading(key) ? 'loading' : 'absent';
  }

  /**
   * Whether the engine has to be claimed again under a higher fence to prove that untracked work has ended.
   */
  get wantsNewFence(): boolean {
    const { fence } = this.#options.ownership;
    return this.#slots.all().some((slot) => (slot.untracked?.minReportFence ?? 0) > fence);
  }

  get #inFlightLimit(): number {
    return this.engine.maxBatch + PIPELINE_MARGIN;
  }

  get #acceptsWork(): boolean {
    return this.#options.ownership.held && !this.#options.isLeaving();
  }

  /** Waits until the adapter is loaded and the batch has room, then runs the generation. */
  async submit(
    work: EngineWork,
    sink: StreamSink,
    signal: AbortSignal,
  ): Promise<Result<GenerationEnd, SchedulerError>> {
    if (!this.#acceptsWork) return err({ kind: 'not-owner', executed: 'no' });
    if (this.#queue.length >= this.#options.queueLimit()) return err({ kind: 'queue-full', executed: 'no' });
    const key = adapterVersionKey(work.request.model);
    this.#demand.add(key);
    const reserved = this.#reserveSlot(key);
    if (reserved !== undefined) return this.#dispatch(work, reserved, 0, sink, signal);
    const { outcome, ticket } = await this.#waitForTurn(work, key, signal);
    if (outcome !== 'go') return err({ kind: outcome, executed: 'no' });
    return this.#dispatch(work, ticket.slot, ticket.stallMs, sink, signal);
  }

  /** Called when this node has claimed the engine: takes over the adapters loaded on it. */
  takeOver(state: TakeoverState): void {
    const nowMs = this.#clock.now();
    const report = state.report.incarnation === state.incarnation ? state.report : undefined;
    const untracked = { minReportFence: state.fence, snapshotAfterMs: nowMs + this.#options.orderTimeoutMs };
    this.#slots.resetFromReport(report, untracked, nowMs);
    this.#drainingCheckNeeded = true;
    this.#schedule();
    this.#options.onChange();
  }

  /**
   * Called when this node has lost the engine: rejects queued requests with `not-owner`; running ones
   * continue.
   */
  relinquish(): void {
    this.#loader.cancelAll();
    this.#slots.clear();
    for (const ticket of this.#queue.takeAll()) ticket.resolve('not-owner');
    this.#options.onChange();
  }

  /**
   * Called when the configuration or machine list changed: adapter versions no longer served are unloaded
   * once idle.
   */
  configurationChanged(): void {
    this.#drainingCheckNeeded = true;
    this.#schedule();
  }

  // --- queueing ----------------------------------------------------------------------------------

  #waitForTurn(work: EngineWork, key: string, signal: AbortSignal): Promise<WaitEnd> {
    const nowMs = this.#clock.now();
    return new Promise((resolve) => {
      const ticket: Ticket = {
        key,
        caller: work.caller,
        priority: work.request.priority,
        enqueuedAtMs: nowMs,
        startTag: this.#queue.nextStartTag(work.caller, work.weight),
        stallMs: 0,
        slot: undefined,
        resolve: (outcome) => {
          expiry.cancel();
          signal.removeEventListener('abort', cancelled);
          resolve({ outcome, ticket });
        },
      };
      const cancelled = (): void => this.#leaveQueue(ticket, 'cancelled');
      const expiry = this.#clock.setTimer(work.deadlineAtMs - nowMs, () =>
        this.#leaveQueue(ticket, 'deadline-passed'),
      );
      signal.addEventListener('abort', cancelled, { once: true });
      this.#queue.add(ticket);
      this.#schedule();
    });
  }

  #leaveQueue(ticket: Ticket, outcome: WaitOutcome): void {
    if (!this.#queue.remove(ticket)) return;
    if (this.#queue.lengthOf(ticket.key) === 0) this.#loader.cancel(ticket.key);
    ticket.resolve(outcome);
  }

  /** Sends queued requests while the batch has room, and starts the adapter loads that the rest wait for. */
  #schedule(): void {
    if (!this.#acceptsWork) {
      for (const ticket of this.#queue.takeAll()) ticket.resolve('not-owner');
      return;
    }
    if (this.#drainingCheckNeeded) this.#updateDraining();
    while (this.#inFlight < this.#inFlightLimit) {
      const ticket = this.#queue.takeNext((key) => this.#isReady(key));
      if (ticket === undefined) break;
      this.#admit(ticket);
    }
    this.#startLoads();
    this.#startReportPolling();
  }

  #isReady(key: string): boolean {
    const slot = this.#slots.get(key);
    return slot?.state === 'ready' && !slot.draining;
  }

  #admit(ticket: Ticket): void {
    const slot = this.#slots.get(ticket.key);
    if (slot === undefined) this.#inFlight += 1;
    else this.#occupy(slot);
    ticket.slot = slot;
    ticket.resolve('go');
  }

  /**
   * Drains and unloads adapter versions that are no longer served. A slot that was drained to make room for a
   * load accepts requests again once no load is in progress.
   */
  #updateDraining(): void {
    this.#drainingCheckNeeded = false;
    for (const slot of this.#slots.all()) {
      const served = this.#options.isServed(slot.adapter, slot.version);
      if (!served) slot.draining = true;
      else if (this.#loader.active === 0) slot.draining = false;
      if (slot.draining) this.#drainingCheckNeeded = true;
      if (!served && isIdle(slot)) this.#startUnload(slot);
    }
  }

  #startUnload(slot: Slot): void {
    const { telemetry, onChange } = this.#options;
    runInBackground(telemetry, 'adapter-unload', () => this.#loader.unload(slot).then(onChange));
  }

  // --- running -----------------------------------------------------------------------------------

  /** The common case, without queueing: no request waits, the adapter is loaded and the batch has room. */
  #reserveSlot(key: string): Slot | undefined {
    if (this.#queue.length > 0 || this.#inFlight >= this.#inFlightLimit) return undefined;
    const slot = this.#slots.get(key);
    if (slot?.state !== 'ready' || slot.draining) return undefined;
    this.#occupy(slot);
    return slot;
  }

  /**
   * Sends a request that is already counted as in flight, unless ownership was lost or the request cancelled
   * meanwhile.
   */
  #dispatch(
    work: EngineWork,
    slot: Slot | undefined,
    stallMs: number,
    sink: StreamSink,
    signal: AbortSignal,
  ): Promise<Result<GenerationEnd, SchedulerError>> {
    if (slot === undefined || !this.#options.ownership.held || signal.aborted) {
      this.#finish(slot);
      return Promise.resolve(err({ kind: signal.aborted ? 'cancelled' : 'not-owner', executed: 'no' }));
    }
    work.onDispatch?.(stallMs);
    return this.#run(work, slot, sink, signal);
  }

  #occupy(slot: Slot): void {
    slot.inFlight += 1;
    slot.lastUsedAtMs = this.#clock.now();
    this.#inFlight += 1;
  }

  async #run(
    work: EngineWork,
    slot: Slot,
    sink: StreamSink,
    signal: AbortSignal,
  ): Promise<Result<GenerationEnd, SchedulerError>> {
    const { client, ownership } = this.#options;
    const { fence, incarnation } = ownership;
    const answer = await client.generate({ ...work.request, fence }, sink, signal);
    if (answer.isErr()) this.#recordFailure(answer.error, slot, fence, incarnation);
    this.#finish(slot);
    if (answer.isOk()) return ok(answer.value);
    return err({ kind: 'engine', executed: answer.error.executed, cause: answer.error });
  }

  #recordFailure(error: EngineError, slot: Slot, fence: number, incarnation: string): void {
    const { ownership, orderTimeoutMs } = this.#options;
    const nowMs = this.#clock.now();
    switch (error.kind) {
      case 'broken':
      case 'cancelled':
        // The engine may still run the request, or start it later; only a report under a higher fence rules
        // that out.
        slot.untracked = { minReportFence: fence + 1, snapshotAfterMs: nowMs + orderTimeoutMs };
        return;
      case 'stale-fence':
        if (incarnation === ownership.incarnation) ownership.handleStaleFence(fence);
        return;
      case 'adapter-not-loaded':
        if (slot.state === 'ready' && slot.inFlight === 1) this.#slots.remove(slot, nowMs);
        return;
      case 'unreachable':
      case 'full':
      case 'rejected':
        return;
    }
  }

  #finish(slot: Slot | undefined): void {
    this.#inFlight -= 1;
    this.#options.onChange();
    if (slot !== undefined) {
      slot.inFlight -= 1;
      slot.lastUsedAtMs = this.#clock.now();
    }
    this.#schedule();
  }

  // --- loading -----------------------------------------------------------------------------------

  #startLoads(): void {
    for (const key of this.#wantedKeys()) {
      if (this.#loader.active >= this.#loader.limit) return;
      this.#loader.start(key);
    }
  }

  /**
   * Adapters to load: those that queued requests wait for, by descending weight, then missing pinned ones.
   */
  #wantedKeys(): string[] {
    const wanted: { key: string; weight: number }[] = [];
    for (const key of this.#queue.keys()) {
      if (this.#slots.get(key) !== undefined || this.#loader.isLoading(key)) continue;
      wanted.push({ key, weight: this.#waitingWeight(key) });
    }
    const requestedKeys = wanted.sort((a, b) => b.weight - a.weight).map((entry) => entry.key);
    return [...requestedKeys, ...this.#missingPinnedKeys()];
  }

  /**
   * Pinned adapters that are not loaded and that no request waits for; none for a while after a failed load.
   */
  #missingPinnedKeys(): string[] {
    if (this.#clock.now() < this.#pinRetryAtMs) return [];
    return this.#options
      .pinnedKeys()
      .filter((key) => this.#slots.get(key) === undefined && !this.#loader.isLoading(key))
      .filter((key) => this.#queue.lengthOf(key) === 0);
  }

  #waitingWeight(key: string): number {
    return this.#queue.waitingFor(key).reduce((sum, ticket) => sum + 1 + ticket.priority, 0);
  }

  #evictionCandidate(slot: Slot): EvictionCandidate {
    return {
      key: slot.key,
      demand: this.#demand.rate(slot.key),
      lastUsedAtMs: slot.lastUsedAtMs,
      pinned: this.#options.pinnedKeys().includes(slot.key),
      replicated: this.#options.isReplicated(slot.key),
    };
  }

  #onLoadEnd(key: string, outcome: LoadOutcome, tookMs: number): void {
    const { telemetry, onLoadTime, onChange } = this.#options;
    if (outcome === 'loaded') {
      for (const ticket of this.#queue.waitingFor(key))
        ticket.stallMs = this.#clock.now() - ticket.enqueuedAtMs;
      onLoadTime(tookMs);
      telemetry.step('adapter.load', key, this.engine.id, this.#clock.wallTime() - tookMs);
    }
    if (outcome === 'failed') this.#pinRetryAtMs = this.#clock.now() + PIN_RETRY_MS;
    if (outcome === 'failed') for (const ticket of this.#queue.takeAll(key)) ticket.resolve('load-failed');
    this.#drainingCheckNeeded = true;
    this.#schedule();
    onChange();
  }

  // --- reports -----------------------------------------------------------------------------------

  #startReportPolling(): void {
    if (this.#pollingReports || !this.#slots.needsReport) return;
    this.#pollingReports = true;
    keepRunning(this.#options, 'report-poll', () => this.#pollReports());
  }

  async #pollReports(): Promise<void> {
    const { ownership, client } = this.#options;
    while (ownership.held && this.#slots.needsReport) {
      await this.#clock.sleep(REPORT_PERIOD_MS);
      const requestedAtMs = this.#clock.now();
      const { fence, incarnation } = ownership;
      const report = await client.report();
      if (report.isErr() || !ownership.held || report.value.incarnation !== incarnation) continue;
      this.#slots.applyReport(report.value, requestedAtMs, this.engine.checksFence, fence);
    }
    this.#pollingReports = false;
    this.#schedule();
  }
}
