import { Random, type VirtualClock } from '@canvasridge/clock';
import { RejectionGuard } from '../src/rejection-guard.js';
import { adapterKey } from '@canvasridge/serving';
import { Telemetry } from '@canvasridge/telemetry';
import { AdapterLoader } from '../src/adapter-loader.js';
import { AdapterMemory } from '../src/adapter-memory.js';
import type { EngineEntry } from '../src/engine-entry.js';
import { EngineRate } from '../src/engine-rate.js';
import { HostMemory } from '../src/host-memory.js';
import { EngineSlots, type AdapterSlot } from '../src/engine-slots.js';
import type { Mechanism } from '../src/mechanisms.js';
import type { OrderLease } from '../src/order-lease.js';
import { countFetches } from '../src/pool-index.js';
import { ALWAYS_ANSWERING, MODEL, PROFILE, SimulatedEngine } from './simulated-engines.js';

export interface LoadScenario {
  readonly seed: number;
  readonly engines: number;
  readonly loadsPerSecond: number;
  readonly untilMs: number;
  /** Duration of a load at full speed that is ordered at this time. */
  readonly loadMs: (atMs: number) => number;
  /** Number of fetches that the store serves at full speed; the duration of all grows in proportion beyond that. */
  readonly fullSpeedFetches: number;
  /** Number of first loads that start together. */
  readonly firstWave: number;
  /** Fraction of the loads that are from host memory. */
  readonly warmShare: number;
  /** Fraction of the loads whose engine takes two seconds longer. */
  readonly lostShare: number;
  /** Fraction of the orders that reach their engine 200 ms late. */
  readonly lateOrderShare: number;
  /** Initial estimate of a fetch. */
  readonly initialMs: number;
  readonly disabled: readonly Mechanism[];
}

export const USUAL: LoadScenario = {
  seed: 1,
  engines: 63,
  loadsPerSecond: 80,
  untilMs: 20_000,
  loadMs: () => 288,
  fullSpeedFetches: 48,
  firstWave: 0,
  warmShare: 0,
  lostShare: 0,
  lateOrderShare: 0,
  initialMs: 260,
  disabled: [],
};

/** One attempt to use an adapter by a group of requests that waited for it. */
export interface GroupAttempt {
  readonly atMs: number;
  readonly requests: number;
  readonly present: boolean;
  /** Attempts for the same load before this one. */
  readonly earlier: number;
  /** Time waited beyond the end of the load; negative if it had not ended. */
  readonly beyondMs: number;
  readonly warm: boolean;
}

/** Share of arrivals at engines that found their adapter missing, of all attempts in a span of time. */
export function missedShare(attempts: readonly GroupAttempt[]): number {
  const count = (list: readonly GroupAttempt[]): number =>
    list.reduce((sum, { requests }) => sum + requests, 0);
  const all = count(attempts);
  return all === 0 ? 0 : count(attempts.filter(({ present }) => !present)) / all;
}

/** Mean time that served groups waited beyond the end of their load, in ms. */
export function meanBeyondMs(attempts: readonly GroupAttempt[]): number {
  const served = attempts.filter(({ present }) => present);
  return served.reduce((sum, { beyondMs }) => sum + beyondMs, 0) / Math.max(served.length, 1);
}

/** Time until the first event of a request that finds its adapter. */
const PREFILL_MS = 60;
const STEP_MS = 1;
/** Time of the first load. */
const START_MS = 100;
const LOST_MS = 2000;
const LATE_ORDER_MS = 200;

interface Load {
  readonly entry: EngineEntry;
  readonly slot: AdapterSlot;
  readonly requests: number;
  leftMs: number;
  readonly isFetch: boolean;
  earlier: number;
  endedMs: number | undefined;
  isSent: boolean;
}

/**
 * Runs an adapter loader against engines whose loads share a store, and returns all attempts to use an adapter. Groups of
 * one to six requests wait for each load and are sent together, as soon as the loader considers it loaded.
 */
export async function runLoads(clock: VirtualClock, scenario: LoadScenario): Promise<GroupAttempt[]> {
  const simulation = new LoadSimulation(clock, scenario);
  await clock.runUntil(scenario.untilMs);
  return simulation.attempts;
}

class LoadSimulation {
  readonly attempts: GroupAttempt[] = [];
  readonly #clock: VirtualClock;
  readonly #scenario: LoadScenario;
  readonly #random: Random;
  readonly #entries: readonly EngineEntry[];
  readonly #loader: AdapterLoader;
  /** By adapter key: loads that engines accepted and whose group was not served yet. */
  readonly #loads = new Map<string, Load>();
  #ordered = 0;

  constructor(clock: VirtualClock, scenario: LoadScenario) {
    this.#clock = clock;
    this.#scenario = scenario;
    this.#random = new Random(scenario.seed);
    const indexes = Array.from({ length: scenario.engines }, (_, index) => index);
    this.#entries = indexes.map((index) => this.#newEntry(index));
    this.#loader = new AdapterLoader({
      clock,
      timing: {
        coldLoadMs: scenario.initialMs,
        warmLoadMs: 30,
        leaseMs: 3000,
        leaseMarginMs: 0,
        observePeriodMs: 700,
        settleMs: 700,
      },
      memory: new HostMemory({
        clock,
        memory: new AdapterMemory(),
        telemetry: new Telemetry({ processName: 'test', clock }),
        service: 'llm',
        learns: false,
      }),
      adapterVersion: () => 1,
      after: (delayMs, action) => void clock.setTimer(delayMs, action),
      onChange: () => this.#sendGroups(),
      fetchesInProgress: () => countFetches(this.#entries),
      telemetry: new Telemetry({ processName: 'test', clock }),
      disabled: new Set(scenario.disabled),
    });
    this.#loader.setEngineCount(scenario.engines);
    clock.setTimer(START_MS, () => {
      for (let load = 0; load < scenario.firstWave; load += 1) this.#startLoad();
      this.#scheduleNext();
    });
    this.#step();
  }

  #newEntry(index: number): EngineEntry {
    const slots = new EngineSlots(new SimulatedEngine(this.#clock, `e${index}`).description, PROFILE);
    const lease = {
      order: async ({ adapter }: { adapter?: string }) => {
        const isLate = this.#random.next() < this.#scenario.lateOrderShare;
        await this.#clock.sleep(isLate ? LATE_ORDER_MS : 2);
        this.#accept(index, adapterKey(MODEL, adapter ?? ''));
        await this.#clock.sleep(2 + this.#random.integer(3));
        return { kind: 'accepted' };
      },
      settle: () => undefined,
    };
    const rate = new EngineRate(this.#clock);
    return {
      slots,
      lease: lease as unknown as OrderLease,
      rate,
      answerCheck: ALWAYS_ANSWERING,
      rejections: new RejectionGuard(),
      unlistedSinceMs: undefined,
    };
  }

  #scheduleNext(): void {
    this.#clock.setTimer(this.#random.exponential(1000 / this.#scenario.loadsPerSecond), () => {
      if (countFetches(this.#entries) < this.#loader.fetchWindow) this.#startLoad();
      this.#scheduleNext();
    });
  }

  /** Loads an adapter on the engine with the fewest slots in use. */
  #startLoad(): void {
    const entry = this.#entries.reduce((a, b) => (b.slots.slots.size < a.slots.slots.size ? b : a));
    const warm = this.#random.next() < this.#scenario.warmShare;
    this.#ordered += 1;
    void this.#loader.load(
      entry,
      { slots: entry.slots, victim: undefined, warm },
      MODEL,
      `a${this.#ordered}`,
    );
  }

  #accept(index: number, key: string): void {
    const entry = this.#entries[index];
    const slot = entry?.slots.get(key);
    if (entry === undefined || slot === undefined) return;
    const { loadMs, lostShare } = this.#scenario;
    const lostMs = this.#random.next() < lostShare ? LOST_MS : 0;
    const usualMs = loadMs(this.#clock.now()) * (slot.warm ? 0.1 : 1);
    this.#loads.set(key, {
      entry,
      slot,
      requests: 1 + this.#random.integer(6),
      leftMs: usualMs + lostMs,
      isFetch: !slot.warm,
      earlier: 0,
      endedMs: undefined,
      isSent: false,
    });
  }

  /** Advances all loads. */
  #step(): void {
    const running = [...this.#loads.values()].filter(({ endedMs }) => endedMs === undefined);
    const fetches = running.filter(({ isFetch }) => isFetch).length;
    const speed = Math.min(1, this.#scenario.fullSpeedFetches / Math.max(fetches, 1));
    for (const load of running) {
      load.leftMs -= STEP_MS * (load.isFetch ? speed : 1);
      if (load.leftMs <= 0) load.endedMs = this.#clock.now();
    }
    this.#clock.setTimer(STEP_MS, () => this.#step());
  }

  #sendGroups(): void {
    for (const load of this.#loads.values()) {
      if (load.slot.state === 'loaded' && !load.isSent) this.#send(load);
    }
  }

  #send(load: Load): void {
    load.isSent = true;
    const sentMs = this.#clock.now();
    const { entry } = load;
    this.#clock.setTimer(2 + this.#random.integer(4), () => {
      const present = load.endedMs !== undefined;
      const nowMs = this.#clock.now();
      this.attempts.push({
        atMs: nowMs,
        requests: load.requests,
        present,
        earlier: load.earlier,
        beyondMs: nowMs - (load.endedMs ?? Infinity),
        warm: !load.isFetch,
      });
      load.earlier += 1;
      if (present) this.#clock.setTimer(PREFILL_MS, () => this.#finish(load, sentMs));
      else this.#clock.setTimer(2 + this.#random.integer(4), () => this.#miss(entry, load, sentMs));
    });
  }

  #miss(entry: EngineEntry, load: Load, sentMs: number): void {
    load.isSent = false;
    this.#loader.handleMissing(entry, load.slot, sentMs);
  }

  #finish(load: Load, sentMs: number): void {
    this.#loader.recordServed(load.slot, sentMs);
    load.entry.slots.removeIfSame(load.slot);
    this.#loads.delete(load.slot.key);
  }
}
