import type { Clock } from '@canvasridge/clock';
import {
  adapterKey,
  type EngineDefinition,
  type EngineError,
  type GenerationEnd,
  type StreamSink,
} from '@canvasridge/domain';
import type { OwnedState } from '@canvasridge/ownership';
import { DemandTracker, type EvictionCandidate } from '@canvasridge/placement';
import { err, ok, type Result } from 'neverthrow';
import { AdapterLoader, type LoadOutcome } from './adapter-loader.js';
import type { EngineSchedulerOptions, EngineWork, SchedulerError } from './engine-work.js';
import { isIdle, type Slot } from './slot.js';
import { SlotSet } from './slot-set.js';
import { TicketQueue, type Ticket, type Turn } from './ticket-queue.js';

const DEMAND_HALF_LIFE_MS = 30_000;
const REPORT_PERIOD_MS = 700;
const PIN_RETRY_MS = 10_000;
/** Requests sent beyond the batch, so that the engine never waits for the next one. */
const PIPELINE_MARGIN = 2;

interface TurnTaken {
  readonly turn: Turn;
  readonly ticket: Ticket;
}

/**
 * Everything that this node sends to one engine it owns: queues requests by adapter, keeps the batch
 * full, has adapters loaded and dropped. In-flight counts are local facts here, so an adapter that
 * serves a request is never unloaded.
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
  #reporting = false;
  #pinsNotBeforeMs = 0;
  /** Whether slots drain, or may have to: set by loads, claims and configuration. */
  #drainingMayChange = true;

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
      onLoadEnd: (key, outcome, tookMs) => this.#loadEnded(key, outcome, tookMs),
    });
  }

  get inFlight(): number {
    return this.#inFlight;
  }

  get queued(): number {
    return this.#queue.length;
  }

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

  /** Whether foreign work can be proved over only under a higher fence. */
  get wantsNewFence(): boolean {
    const { fence } = this.#options.ownership;
    return this.#slots.all().some((slot) => (slot.foreign?.provedAtFence ?? 0) > fence);
  }

  get #placeLimit(): number {
    return this.engine.maxBatch + PIPELINE_MARGIN;
  }

  get #takesWork(): boolean {
    return this.#options.ownership.held && !this.#options.isLeaving();
  }

  /** Waits for the adapter and a place in the batch, then runs the generation. */
  async submit(
    work: EngineWork,
    sink: StreamSink,
    signal: AbortSignal,
  ): Promise<Result<GenerationEnd, SchedulerError>> {
    if (!this.#takesWork) return err({ kind: 'not-owner', executed: 'no' });
    if (this.#queue.length >= this.#options.queueLimit()) return err({ kind: 'queue-full', executed: 'no' });
    const key = adapterKey(work.request.model);
    this.#demand.add(key);
    const free = this.#takeFreePlace(key);
    if (free !== undefined) return this.#dispatch(work, free, 0, sink, signal);
    const { turn, ticket } = await this.#waitForTurn(work, key, signal);
    if (turn !== 'go') return err({ kind: turn, executed: 'no' });
    return this.#dispatch(work, ticket.slot, ticket.stallMs, sink, signal);
  }

  /** This node has claimed the engine: takes over what it holds. */
  adopt(state: OwnedState): void {
    const nowMs = this.#clock.now();
    const report = state.report.incarnation === state.incarnation ? state.report : undefined;
    const foreign = { provedAtFence: state.fence, provedAfterMs: nowMs + this.#options.orderTimeoutMs };
    this.#slots.adopt(report, foreign, nowMs);
    this.#drainingMayChange = true;
    this.#pump();
    this.#options.onChange();
  }

  /** The engine is no longer this node's: waiting requests are handed back, running ones go on. */
  surrender(): void {
    this.#loader.cancelAll();
    this.#slots.clear();
    for (const ticket of this.#queue.takeAll()) ticket.resolve('not-owner');
    this.#options.onChange();
  }

  /** The configuration changed: adapter versions no longer served are dropped once idle. */
  configurationChanged(): void {
    this.#drainingMayChange = true;
    this.#pump();
  }

  // --- waiting -----------------------------------------------------------------------------------

  #waitForTurn(work: EngineWork, key: string, signal: AbortSignal): Promise<TurnTaken> {
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
        resolve: (turn) => {
          expiry.cancel();
          signal.removeEventListener('abort', cancelled);
          resolve({ turn, ticket });
        },
      };
      const cancelled = (): void => this.#giveUp(ticket, 'cancelled');
      const expiry = this.#clock.setTimer(work.deadlineAtMs - nowMs, () =>
        this.#giveUp(ticket, 'deadline-passed'),
      );
      signal.addEventListener('abort', cancelled, { once: true });
      this.#queue.add(ticket);
      this.#pump();
    });
  }

  #giveUp(ticket: Ticket, turn: Turn): void {
    if (!this.#queue.remove(ticket)) return;
    if (this.#queue.lengthOf(ticket.key) === 0) this.#loader.cancel(ticket.key);
    ticket.resolve(turn);
  }

  /** Sends what can be sent and starts the loads that are wanted. */
  #pump(): void {
    if (!this.#takesWork) {
      for (const ticket of this.#queue.takeAll()) ticket.resolve('not-owner');
      return;
    }
    if (this.#drainingMayChange) this.#updateDraining();
    while (this.#inFlight < this.#placeLimit) {
      const ticket = this.#queue.takeNext((key) => this.#accepts(key));
      if (ticket === undefined) break;
      this.#place(ticket);
    }
    this.#startLoads();
    this.#watchReports();
  }

  #accepts(key: string): boolean {
    const slot = this.#slots.get(key);
    return slot?.state === 'ready' && !slot.draining;
  }

  #place(ticket: Ticket): void {
    const slot = this.#slots.get(ticket.key);
    if (slot === undefined) this.#inFlight += 1;
    else this.#occupy(slot);
    ticket.slot = slot;
    ticket.resolve('go');
  }

  /** A version no longer served drains and is dropped; one that drained for a load that ended serves again. */
  #updateDraining(): void {
    this.#drainingMayChange = false;
    for (const slot of this.#slots.all()) {
      const served = this.#options.isServed(slot.adapter, slot.version);
      if (!served) slot.draining = true;
      else if (this.#loader.active === 0) slot.draining = false;
      if (slot.draining) this.#drainingMayChange = true;
      if (!served && isIdle(slot)) void this.#loader.unload(slot).then(() => this.#options.onChange());
    }
  }

  // --- running -----------------------------------------------------------------------------------

  /** The common case: nobody waits, the adapter is there and the batch has room. */
  #takeFreePlace(key: string): Slot | undefined {
    if (this.#queue.length > 0 || this.#inFlight >= this.#placeLimit) return undefined;
    const slot = this.#slots.get(key);
    if (slot?.state !== 'ready' || slot.draining) return undefined;
    this.#occupy(slot);
    return slot;
  }

  /** Sends a request whose place is already counted; what has happened since is checked right before. */
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
    if (answer.isErr()) this.#noteFailure(answer.error, slot, fence, incarnation);
    this.#finish(slot);
    if (answer.isOk()) return ok(answer.value);
    return err({ kind: 'engine', executed: answer.error.executed, cause: answer.error });
  }

  #noteFailure(error: EngineError, slot: Slot, fence: number, incarnation: string): void {
    const { ownership, orderTimeoutMs } = this.#options;
    const nowMs = this.#clock.now();
    switch (error.kind) {
      case 'broken':
      case 'cancelled':
        // The engine may still run it, or start it later; only a report under a higher fence rules that out.
        slot.foreign = { provedAtFence: fence + 1, provedAfterMs: nowMs + orderTimeoutMs };
        return;
      case 'stale-fence':
        if (incarnation === ownership.incarnation) ownership.fenceRefused(fence);
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
    this.#pump();
  }

  // --- loading -----------------------------------------------------------------------------------

  #startLoads(): void {
    for (const key of this.#wantedKeys()) {
      if (this.#loader.active >= this.#loader.limit) return;
      this.#loader.start(key);
    }
  }

  /** Adapters that requests wait for and that are neither held nor on their way, heaviest first. */
  #wantedKeys(): string[] {
    const wanted: { key: string; weight: number }[] = [];
    for (const key of this.#queue.keys()) {
      if (this.#slots.get(key) !== undefined || this.#loader.isLoading(key)) continue;
      wanted.push({ key, weight: this.#waitingWeight(key) });
    }
    const waitedFor = wanted.sort((a, b) => b.weight - a.weight).map((entry) => entry.key);
    return [...waitedFor, ...this.#missingPins()];
  }

  /** Pinned adapters that are not there: loaded when no request waits for a load, and seldom after a failure. */
  #missingPins(): string[] {
    if (this.#clock.now() < this.#pinsNotBeforeMs) return [];
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

  #loadEnded(key: string, outcome: LoadOutcome, tookMs: number): void {
    const { telemetry, onLoadTime, onChange } = this.#options;
    if (outcome === 'loaded') {
      for (const ticket of this.#queue.waitingFor(key))
        ticket.stallMs = this.#clock.now() - ticket.enqueuedAtMs;
      onLoadTime(tookMs);
      telemetry.step('adapter.load', key, this.engine.id, this.#clock.wallTime() - tookMs);
    }
    if (outcome === 'failed') this.#pinsNotBeforeMs = this.#clock.now() + PIN_RETRY_MS;
    if (outcome === 'failed') for (const ticket of this.#queue.takeAll(key)) ticket.resolve('load-failed');
    this.#drainingMayChange = true;
    this.#pump();
    onChange();
  }

  // --- reports -----------------------------------------------------------------------------------

  #watchReports(): void {
    if (this.#reporting || !this.#slots.needsReport) return;
    this.#reporting = true;
    void this.#reportTask();
  }

  async #reportTask(): Promise<void> {
    const { ownership, client } = this.#options;
    while (ownership.held && this.#slots.needsReport) {
      await this.#clock.sleep(REPORT_PERIOD_MS);
      const askedAtMs = this.#clock.now();
      const { fence, incarnation } = ownership;
      const report = await client.report();
      if (report.isErr() || !ownership.held || report.value.incarnation !== incarnation) continue;
      this.#slots.compare(report.value, askedAtMs, this.engine.checksFence, fence);
    }
    this.#reporting = false;
    this.#pump();
  }
}
