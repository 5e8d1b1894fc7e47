import type { Clock } from '@canvasridge/clock';
import type { BackendDescription, EngineProfile } from '@canvasridge/serving';
import type { EngineControl, EngineOrder, EngineReport, OrderReply } from '../src/index.js';

/** Times of a simulated engine, in milliseconds. */
const ONE_WAY_MS = 2;
const REPORT_LAG_MS = 200;
const COLD_LOAD_MS = 250;
const WARM_LOAD_MS = 25;
export const LEASE_MS = 3000;
/** Adapters that may be on their way at the same time. */
const MAX_PENDING = 4;

export const MODEL = 'base';
export const PROFILE: EngineProfile = {
  models: [{ name: MODEL, sizeMb: 16_000, adapterMb: 14 }],
  adapterSlots: 6,
  memoryMb: 16_500,
  batchSlots: 96,
  storeLoadsPerSecond: 2,
};

interface TimedOrder {
  readonly atMs: number;
  readonly order: EngineOrder;
}

/**
 * An engine as the platform's are: it counts the orders it takes, names a repeated load or unload done without
 * counting it, reports with a lag, falls when told to hold too much, and checks fences if it is told to.
 */
export class SimulatedEngine {
  readonly description: BackendDescription;
  /** Orders that came, whatever the answer to them: holders are judged by these. */
  readonly arrived: TimedOrder[] = [];
  /** Those of them that were carried out and counted. */
  readonly applied: TimedOrder[] = [];
  readonly violations: string[] = [];
  /** Orders refused since the count differed or too many adapters were on their way. */
  conflicts = 0;
  /** Loses answers to orders while true; the orders are taken. */
  losesAnswers = false;
  reachable = true;
  /** Until when reports say that an order is under way. */
  busyUntilMs = 0;
  /** Refuses fences that are lower than one it saw. Holders may then follow one another at once. */
  checksFences = false;
  #highestFence = 0;
  readonly #clock: Clock;
  readonly #adapters = new Map<string, { readyAtMs: number }>();
  readonly #hostMemory = new Set<string>();
  readonly #history: { atMs: number; report: EngineReport }[] = [];
  #count = 0;

  constructor(clock: Clock, id: string) {
    this.#clock = clock;
    this.description = {
      id,
      service: 'llm',
      address: `${id}:1`,
      zone: 'a',
      state: 'ready',
      slots: PROFILE.batchSlots,
      models: [{ name: MODEL, adapters: [] }],
    };
    this.#recordState();
  }

  /** Whether a request for the adapter would run now. */
  serves(adapter: string): boolean {
    const held = this.#adapters.get(adapter);
    return held !== undefined && held.readyAtMs <= this.#clock.now();
  }

  /** The highest fence of any order that came, also of one that changed nothing. */
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
    this.applied.push({ atMs: this.#clock.now(), order });
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
    if (this.#adapters.size > PROFILE.adapterSlots) this.violations.push(`LIMIT: ${adapter} is one too many`);
  }

  #pendingCount(): number {
    return [...this.#adapters.values()].filter((held) => held.readyAtMs > this.#clock.now()).length;
  }

  /**
   * The users' rule on holders: no turns within a lease, no shared fence, no lower fence after a higher one. An order that
   * is refused or changes nothing counts as well: it shows that its sender took itself for the holder.
   */
  #checkHolderRules(order: EngineOrder): void {
    const last = this.arrived.at(-1);
    const atMs = this.#clock.now();
    this.arrived.push({ atMs, order });
    if (last === undefined || this.#isSharedFence(order, last.order, atMs) || this.checksFences) return;
    if (order.fence < this.#highestFence) this.violations.push(`ONE: fence fell at ${atMs}`);
    if (order.holder !== last.order.holder && atMs - last.atMs < LEASE_MS)
      this.violations.push(`ONE: turns within the lease at ${atMs}`);
  }

  #isSharedFence(order: EngineOrder, last: EngineOrder, atMs: number): boolean {
    const isShared = order.fence === last.fence && order.holder !== last.holder;
    if (isShared) this.violations.push(`ONE: fence of two holders at ${atMs}`);
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

/** Calls to a set of simulated engines. */
export class SimulatedControl implements EngineControl {
  readonly #engines: ReadonlyMap<string, SimulatedEngine>;

  constructor(engines: readonly SimulatedEngine[]) {
    this.#engines = new Map(engines.map((engine) => [engine.description.id, engine]));
  }

  /** Simulated engines say nothing of themselves beside what they are asked for. */
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
