import type { Clock } from '@canvasridge/clock';
import type { ConfigurationIndex, EngineClient, EngineDefinition } from '@canvasridge/domain';
import { adapterVersionKey, type AdapterRef } from '@canvasridge/domain';
import type { Member } from '@canvasridge/membership';
import type {
  EngineOwnership,
  TakeoverState,
  OwnershipManager,
  OwnershipTiming,
} from '@canvasridge/ownership';
import {
  AdapterCandidates,
  chooseEngine,
  hash32,
  type RouteCandidate,
  type LoadGrantRequest,
  type LoadGrant,
} from '@canvasridge/placement';
import type { Telemetry } from '@canvasridge/telemetry';
import { EngineScheduler } from '../scheduling/engine-scheduler.js';
import { RemoteEngines, engineRecordKey, acceptsRequests, type EngineRecord } from './remote-engines.js';

export interface EngineFleetOptions {
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly timing: OwnershipTiming;
  readonly self: () => Member;
  readonly member: (id: string) => Member | undefined;
  readonly isLeaving: (machine: string | undefined) => boolean;
  readonly newClient: (engine: EngineDefinition) => EngineClient;
  /** Resolves when an adapter load may start; with undefined if it is aborted first. */
  readonly acquireLoad: (request: LoadGrantRequest, signal: AbortSignal) => Promise<LoadGrant | undefined>;
  /** Publishes a record to all nodes, in place of the one published under the same key before. */
  readonly publish: (key: string, value: EngineRecord) => void;
}

/** The engine chosen for a request, and the node that owns it. */
export interface EngineChoice {
  readonly engine: EngineDefinition;
  readonly owner: Member;
  /** Defined if this node is the owner. */
  readonly scheduler: EngineScheduler | undefined;
}

/** Changes of an engine within this time are published together. */
const PUBLISH_DELAY_MS = 250;
/** Durations of a load and a generation that are assumed before any was measured. */
const INITIAL_LOAD_SECONDS = 1;
const INITIAL_SERVICE_SECONDS = 2;
/** Weight of the latest value in the moving averages of load and service times. */
const SMOOTHING_FACTOR = 0.1;
/** How many engines without the adapter are considered for a request, beside those that have or load it. */
const MAX_CANDIDATES_WITHOUT_ADAPTER = 4;
/** Published request counts are rounded to multiples of the batch size divided by this number. */
const PUBLISHED_LOAD_STEPS = 4;

/** All engines as known to this node: schedulers for those it owns, and published records of the others. */
export class EngineFleet {
  readonly #options: EngineFleetOptions;
  readonly #remoteEngines = new RemoteEngines();
  readonly #schedulers = new Map<string, EngineScheduler>();
  readonly #clients = new Map<string, { readonly url: string; readonly client: EngineClient }>();
  readonly #publishedRecords = new Map<string, string>();
  readonly #publishPending = new Set<string>();
  #ownership: OwnershipManager | undefined;
  #index: ConfigurationIndex | undefined;
  #pinnedKeys: ReadonlyMap<string, readonly string[]> = new Map();
  #adapterCandidates: AdapterCandidates | undefined;
  #loadSeconds = INITIAL_LOAD_SECONDS;
  #serviceSeconds = INITIAL_SERVICE_SECONDS;

  constructor(options: EngineFleetOptions) {
    this.#options = options;
  }

  get remoteEngines(): RemoteEngines {
    return this.#remoteEngines;
  }

  /**
   * Sets the ownership manager. Not a constructor option because the manager and the fleet refer to each
   * other.
   */
  setOwnershipManager(ownership: OwnershipManager): void {
    this.#ownership = ownership;
  }

  /** Applies a new configuration. */
  applyConfiguration(index: ConfigurationIndex): void {
    this.#index = index;
    this.#adapterCandidates = new AdapterCandidates(index);
    this.#pinnedKeys = pinsByEngine(index, this.#adapterCandidates);
    this.#ownership?.setEngines(index.configuration.engines);
    for (const scheduler of this.#schedulers.values()) scheduler.configurationChanged();
  }

  /** Called when the machine list changed: engines on leaving machines reject their queued requests. */
  machinesChanged(): void {
    for (const scheduler of this.#schedulers.values()) scheduler.configurationChanged();
  }

  clientOf(engine: EngineDefinition): EngineClient {
    const known = this.#clients.get(engine.id);
    if (known !== undefined && known.url === engine.url) return known.client;
    const client = this.#options.newClient(engine);
    this.#clients.set(engine.id, { url: engine.url, client });
    return client;
  }

  /** Scheduler of an engine; undefined unless this node owns the engine. */
  schedulerOf(engineId: string): EngineScheduler | undefined {
    const owned = this.#ownership?.get(engineId);
    return owned?.held === true ? this.#schedulers.get(engineId) : undefined;
  }

  /** Schedulers of the engines that this node owns. */
  owned(): readonly EngineScheduler[] {
    return [...this.#schedulers.values()].filter(
      (scheduler) => this.schedulerOf(scheduler.engine.id) !== undefined,
    );
  }

  // --- ownership events --------------------------------------------------------------------------

  /** Called when this node has become the owner of an engine. */
  onHeld(ownership: EngineOwnership, state: TakeoverState): void {
    const { engine } = ownership;
    let scheduler = this.#schedulers.get(engine.id);
    if (scheduler === undefined || scheduler.engine !== engine) {
      scheduler = this.#newScheduler(ownership);
      this.#schedulers.set(engine.id, scheduler);
    }
    scheduler.takeOver(state);
    this.#publishNow(engine.id);
  }

  /** Called when this node no longer owns an engine. */
  onLost(ownership: EngineOwnership): void {
    this.#schedulers.get(ownership.engine.id)?.relinquish();
    this.#publishNow(ownership.engine.id);
  }

  /** Whether this node has to claim an engine that it owns again, under a higher fence. */
  wantsNewFence(engineId: string): boolean {
    return this.#schedulers.get(engineId)?.wantsNewFence === true;
  }

  // --- choosing ----------------------------------------------------------------------------------

  /**
   * The engine with the lowest cost for a request, among those whose owner is known; `excluded` holds engines
   * that have refused the request.
   */
  choose(model: AdapterRef, excluded: ReadonlySet<string>): EngineChoice | undefined {
    const candidates = this.#routeCandidates(model, excluded);
    const stallWeight = this.#index?.tuning.stallWeight ?? 0;
    const times = {
      loadSeconds: this.#loadSeconds,
      // The measured load times already include the wait for a grant.
      loadQueueSeconds: 0,
      serviceSeconds: this.#serviceSeconds,
    };
    const chosen = chooseEngine(candidates, times, stallWeight);
    if (chosen === undefined) return undefined;
    const engine = this.#index?.engines.get(chosen.engineId);
    const owner = this.ownerOf(chosen.engineId);
    if (engine === undefined || owner === undefined) return undefined;
    return { engine, owner, scheduler: this.schedulerOf(engine.id) };
  }

  /** The member that owns an engine, if it is known and accepts requests. */
  ownerOf(engineId: string): Member | undefined {
    if (this.schedulerOf(engineId) !== undefined) return this.#options.self();
    const ownerId = this.#remoteEngines.ownerOf(engineId);
    if (ownerId === undefined || ownerId === this.#options.self().id) return undefined;
    const member = this.#options.member(ownerId);
    return acceptsRequests(member) ? member : undefined;
  }

  /** Adds the duration of a completed generation to the moving average. */
  observeServiceTime(seconds: number): void {
    this.#serviceSeconds += SMOOTHING_FACTOR * (seconds - this.#serviceSeconds);
  }

  #routeCandidates(model: AdapterRef, excluded: ReadonlySet<string>): RouteCandidate[] {
    const key = adapterVersionKey(model);
    const ranked = this.#adapterCandidates?.of(model.base, model.adapter) ?? [];
    const candidates: RouteCandidate[] = [];
    let absent = 0;
    for (const [rank, engine] of ranked.entries()) {
      if (excluded.has(engine.id) || this.#options.isLeaving(engine.machine)) continue;
      const candidate = this.#routeCandidate(engine, key, rank);
      if (candidate === undefined) continue;
      if (candidate.adapter === 'absent') {
        absent += 1;
        if (absent > MAX_CANDIDATES_WITHOUT_ADAPTER) continue;
      }
      candidates.push(candidate);
    }
    return candidates;
  }

  #routeCandidate(engine: EngineDefinition, key: string, rank: number): RouteCandidate | undefined {
    const sameZone = engine.zone === this.#options.self().zone;
    const scheduler = this.schedulerOf(engine.id);
    if (scheduler === undefined) {
      if (this.ownerOf(engine.id) === undefined) return undefined;
      return this.#remoteEngines.routeCandidate(engine, key, rank, sameZone, this.#options.clock.now());
    }
    return {
      engineId: engine.id,
      adapter: scheduler.adapterState(key),
      running: scheduler.inFlight,
      queued: scheduler.queued,
      maxBatch: engine.maxBatch,
      reclaimableSlots: scheduler.reclaimableSlots,
      rank,
      sameZone,
    };
  }

  // --- publishing --------------------------------------------------------------------------------

  #newScheduler(ownership: EngineOwnership): EngineScheduler {
    const { engine } = ownership;
    const { clock, telemetry, acquireLoad, timing } = this.#options;
    return new EngineScheduler({
      engine,
      client: this.clientOf(engine),
      ownership,
      clock,
      telemetry,
      acquireLoad,
      orderTimeoutMs: timing.orderTimeoutMs,
      queueLimit: () => this.#index?.tuning.queueLimitPerEngine ?? 0,
      isLeaving: () =>
        this.#options.isLeaving(engine.machine) || this.#index?.isLeaving(engine.machine) === true,
      pinnedKeys: () => this.#pinnedKeys.get(engine.id) ?? [],
      isReplicated: (key) => this.#isHeldElsewhere(engine, key),
      isServed: (adapter, version) =>
        this.#index?.adapter(engine.base, adapter)?.versions.includes(version) === true,
      onChange: () => this.#publishSoon(engine.id),
      onLoadTime: (milliseconds) => {
        this.#loadSeconds += SMOOTHING_FACTOR * (milliseconds / 1000 - this.#loadSeconds);
      },
    });
  }

  #isHeldElsewhere(engine: EngineDefinition, key: string): boolean {
    const others = this.#index?.enginesOf(engine.base) ?? [];
    return others.some(
      (other) =>
        other.id !== engine.id &&
        (this.schedulerOf(other.id)?.adapterState(key) === 'loaded' ||
          this.#remoteEngines.holds(other.id, key)),
    );
  }

  #publishSoon(engineId: string): void {
    if (this.#publishPending.has(engineId)) return;
    this.#publishPending.add(engineId);
    this.#options.clock.setTimer(PUBLISH_DELAY_MS, () => {
      this.#publishPending.delete(engineId);
      this.#publishNow(engineId);
    });
  }

  /** Publishes an engine's record if it differs from the one published last. */
  #publishNow(engineId: string): void {
    const record = this.#record(engineId);
    const text = JSON.stringify(record);
    if (this.#publishedRecords.get(engineId) === text) return;
    this.#publishedRecords.set(engineId, text);
    this.#options.publish(engineRecordKey(engineId), record);
  }

  #record(engineId: string): EngineRecord {
    const scheduler = this.schedulerOf(engineId);
    const fence = this.#ownership?.get(engineId)?.fence ?? 0;
    // Fence 0 withdraws the record of an engine that this node no longer owns.
    if (scheduler === undefined) return [0, 0, 0, 0, []];
    const { maxBatch } = scheduler.engine;
    const { metrics } = this.#options.telemetry;
    metrics.gauge('engine.batch', scheduler.inFlight, [`engine:${engineId}`]);
    metrics.gauge('engine.queue', scheduler.queued, [`engine:${engineId}`]);
    const loaded = scheduler.slots().filter((slot) => slot.state === 'ready' && !slot.draining);
    const hashes = loaded.map((slot) => hash32(slot.key)).sort((a, b) => a - b);
    // Counts are rounded to coarse steps, so that not every request changes the record and has it published.
    const step = Math.max(1, Math.floor(maxBatch / PUBLISHED_LOAD_STEPS));
    const running = Math.round(scheduler.inFlight / step) * step;
    const queued = Math.round(scheduler.queued / step) * step;
    return [fence, running, queued, Math.min(1, scheduler.reclaimableSlots), hashes];
  }
}

/**
 * Keys of the pinned adapters for each engine: the newest version of each pinned adapter, on the first
 * engines of its candidate order. Every node computes the same result.
 */
function pinsByEngine(
  index: ConfigurationIndex,
  candidates: AdapterCandidates,
): ReadonlyMap<string, readonly string[]> {
  const pins = new Map<string, string[]>();
  for (const { base, name, versions, pinnedReplicas = 0 } of index.configuration.adapters) {
    if (pinnedReplicas === 0) continue;
    const key = adapterVersionKey({ adapter: name, version: versions.at(-1) ?? '' });
    for (const engine of candidates.of(base, name).slice(0, pinnedReplicas)) {
      pins.set(engine.id, [...(pins.get(engine.id) ?? []), key]);
    }
  }
  return pins;
}
