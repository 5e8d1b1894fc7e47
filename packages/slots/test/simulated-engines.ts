import { socketAddress } from '@canvasridge/addresses';
import type { Clock } from '@canvasridge/clock';
import type { BackendDescription, EngineProfile } from '@canvasridge/serving';
import type { EngineControl, EngineOrder, EngineReport, OrderReply } from '../src/index.js';

/** Network delay of a message to or from an engine. */
const ONE_WAY_MS = 2;
/** Age of the state that reports show. */
const REPORT_LAG_MS = 200;
const COLD_LOAD_MS = 250;
const WARM_LOAD_MS = 25;
export const LEASE_MS = 3000;
/** Maximum number of adapters that an engine loads at the same time. */
const MAX_PENDING = 4;

export const MODEL = 'base';
export const PROFILE: EngineProfile = {
  models: [{ name: MODEL, sizeMb: 16_000, adapterMb: 14 }],
  adapterSlots: 6,
  memoryMb: 16_500,
  batchSlots: 96,
  storeLoadsPerSecond: 2,
};

/** The answer check of an engine that is never withheld. */
export const ALWAYS_ANSWERING = {
  isAnswering: true,
  lastAnsweredMs: 0,
  requestFailed: (): void => undefined,
  answered: (): void => undefined,
};

interface TimedOrder {
  readonly atMs: number;
  readonly order: EngineOrder;
}

/**
 * Simulates an engine of the platform. It counts the orders it carries out, answers a repeated load or unload without
 * counting it, reports with a lag, and optionally checks fences. It records a violation if it is ordered to hold too many
 * adapters or if holders break the rules for taking turns.
 */
export class SimulatedEngine {
  readonly description: BackendDescription;
  /** All received orders, whatever the answer. The rules for holders are checked on these. */
  readonly receivedOrders: TimedOrder[] = [];
  /** Orders that were carried out and counted. */
  readonly appliedOrders: TimedOrder[] = [];
  readonly violations: string[] = [];
  /** Number of orders rejected because the count differed or too many adapters were loading. */
  conflicts = 0;
  /** While true, orders are carried out but their answers are lost. */
  losesAnswers = false;
  reachable = true;
  /** Until when reports show a model load or unload in progress. */
  busyUntilMs = 0;
  /** Whether orders with a lower fence than seen before are rejected. Holders may then succeed one another at once. */
  checksFences = false;
  #highestFence = 0;
  readonly #clock: Clock;
  readonly #adapters = new Map<string, { readyAtMs: number }>();
  readonly #hostMemory = new Set<string>();
  readonly #history: { atMs: number; report: EngineReport }[] = [];
  #count = 0;

  constructor(clock: Clock, id: string, changes: Partial<BackendDescription> = {}) {
    this.#clock = clock;
    this.description = {
      id,
      service: 'llm',
      address: socketAddress('10.0.0.1:1'),
      zone: 'a',
      state: 'ready',
      slots: PROFILE.batchSlots,
      models: [{ name: MODEL, adapters: [] }],
      ...changes,
    };
    this.#recordState();
  }

  /** Whether the adapter is loaded, so that a request for it would run. */
  serves(adapter: string): boolean {
    const held = this.#adapters.get(adapter);
    return held !== undefined && held.readyAtMs <= this.#clock.now();
  }

  /** The highest fence of any received order, including orders that changed nothing. */
  get highestFence(): number {
    return this.#highestFence;
  }

  async report(): Promise<EngineReport | undefined> {
    await this.#clock.sleep(2 * ONE_WAY_MS);
    if (!this.reachable) return undefined;
    const reportedMs = this.#clock.now() - REPORT_LAG_MS;
    if (this.busyUntilMs > 0) this.#recordState();
    return this.#history.findLast((entry) => entry.atMs <= reportedMs)?.report ?? this.#history[0]?.report;
  }

  async order(order: EngineOrder): Promise<OrderReply> {
    await this.#clock.sleep(ONE_WAY_MS);
    if (!this.reachable) {
      await this.#clock.sleep(600);
      return { kind: 'unknown', detail: 'no answer' };
    }
    const reply = this.#applyOrder(order);
    if (reply.kind === 'conflict') this.conflicts += 1;
    await this.#clock.sleep(ONE_WAY_MS);
    return this.losesAnswers ? { kind: 'unknown', detail: 'answer lost' } : reply;
  }

  #applyOrder(order: EngineOrder): OrderReply {
    this.#checkHolderRules(order);
    if (this.checksFences && order.fence < this.#highestFence) return { kind: 'fenced' };
    this.#highestFence = Math.max(this.#highestFence, order.fence);
    const adapter = order.adapter ?? '';
    const held = this.#adapters.get(adapter);
    if (order.action === 'load' && held !== undefined) {
      return { kind: held.readyAtMs > this.#clock.now() ? 'accepted' : 'done' };
    }
    if (order.action === 'unload' && (held === undefined || held.readyAtMs > this.#clock.now())) {
      return { kind: 'done' };
    }
    if (order.expectedCount !== this.#count) return { kind: 'conflict' };
    if (order.action === 'load' && this.#pendingCount() >= MAX_PENDING) return { kind: 'conflict' };
    this.appliedOrders.push({ atMs: this.#clock.now(), order });
    this.#count += 1;
    if (order.action === 'unload') this.#adapters.delete(adapter);
    else this.#load(adapter);
    this.#recordState();
    return { kind: order.action === 'unload' ? 'done' : 'accepted' };
  }

  #load(adapter: string): void {
    const loadMs = this.#hostMemory.has(adapter) ? WARM_LOAD_MS : COLD_LOAD_MS;
    this.#adapters.set(adapter, { readyAtMs: this.#clock.now() + loadMs });
    this.#hostMemory.add(adapter);
    if (this.#adapters.size > PROFILE.adapterSlots)
      this.violations.push(`LIMIT: ${adapter} exceeds the adapter slots`);
  }

  #pendingCount(): number {
    return [...this.#adapters.values()].filter((held) => held.readyAtMs > this.#clock.now()).length;
  }

  /**
   * Checks the users' rules for holders: no orders of two holders within one lease, no fence used by two holders, and no
   * lower fence after a higher one. Rejected orders and orders that change nothing count as well, because they show that
   * the sender believed itself to be the holder.
   */
  #checkHolderRules(order: EngineOrder): void {
    const last = this.receivedOrders.at(-1);
    const atMs = this.#clock.now();
    this.receivedOrders.push({ atMs, order });
    if (last === undefined || this.#isSharedFence(order, last.order, atMs) || this.checksFences) return;
    if (order.fence < this.#highestFence) this.violations.push(`ONE: fence fell at ${atMs}`);
    if (order.holder !== last.order.holder && atMs - last.atMs < LEASE_MS)
      this.violations.push(`ONE: two holders within one lease at ${atMs}`);
  }

  #isSharedFence(order: EngineOrder, last: EngineOrder, atMs: number): boolean {
    const isShared = order.fence === last.fence && order.holder !== last.holder;
    if (isShared) this.violations.push(`ONE: two holders used the same fence at ${atMs}`);
    return isShared;
  }

  #isBusy(): boolean {
    return this.#clock.now() < this.busyUntilMs;
  }

  #recordState(): void {
    const adapters = [];
    const pending = [];
    for (const [name, held] of this.#adapters) {
      if (held.readyAtMs <= this.#clock.now()) adapters.push({ name, version: 1 });
      else pending.push({ model: MODEL, adapter: name, version: 1 });
    }
    const models = [{ name: MODEL, adapters }];
    const report = { orderCount: this.#count, busy: this.#isBusy(), models, pending };
    this.#history.push({ atMs: this.#clock.now(), report });
  }
}

/** Control calls to a set of simulated engines. */
export class SimulatedControl implements EngineControl {
  readonly #engines: ReadonlyMap<string, SimulatedEngine>;

  constructor(engines: readonly SimulatedEngine[]) {
    this.#engines = new Map(engines.map((engine) => [engine.description.id, engine]));
  }

  /** Simulated engines send no notices. */
  onNotice(): void {
    return;
  }

  async report(backend: BackendDescription): Promise<EngineReport | undefined> {
    return this.#engines.get(backend.id)?.report();
  }

  async order(backend: BackendDescription, order: EngineOrder): Promise<OrderReply> {
    const engine = this.#engines.get(backend.id);
    return engine === undefined ? { kind: 'other-instance' } : engine.order(order);
  }
}
