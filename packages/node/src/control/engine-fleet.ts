import type { Clock } from '@canvasridge/clock';
import type { ConfigurationIndex, EngineClient, EngineDefinition } from '@canvasridge/domain';
import { adapterKey, type AdapterRef } from '@canvasridge/domain';
import type { Member } from '@canvasridge/membership';
import type { EngineOwnership, OwnedState, OwnershipManager, OwnershipTiming } from '@canvasridge/ownership';
import {
  AdapterCandidates,
  chooseEngine,
  hash32,
  type EngineOutlook,
  type LoadWish,
  type LoadGrant,
} from '@canvasridge/placement';
import type { Telemetry } from '@canvasridge/telemetry';
import { EngineScheduler } from '../scheduling/engine-scheduler.js';
import { FleetView, engineRecordKey, takesRequests, type EngineRecord } from './fleet-view.js';

export interface EngineFleetOptions {
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly timing: OwnershipTiming;
  readonly self: () => Member;
  readonly member: (id: string) => Member | undefined;
  readonly isLeaving: (machine: string | undefined) => boolean;
  readonly newClient: (engine: EngineDefinition) => EngineClient;
  readonly acquireLoad: (wish: LoadWish, signal: AbortSignal) => Promise<LoadGrant | undefined>;
  readonly publish: (key: string, value: EngineRecord) => void;
}

/** The engine chosen for a request, and who owns it. */
export interface EngineChoice {
  readonly engine: EngineDefinition;
  readonly owner: Member;
  /** Set when this node is the owner. */
  readonly scheduler: EngineScheduler | undefined;
}

const PUBLISH_DELAY_MS = 250;
const INITIAL_LOAD_SECONDS = 1;
const INITIAL_SERVICE_SECONDS = 2;
const SMOOTHING = 0.1;
/** Engines weighed beyond those that hold the adapter. */
const CANDIDATES_WEIGHED = 4;
const LOAD_LEVELS = 4;

/** All engines as this node sees them: schedulers of those it owns, hints about the others. */
export class EngineFleet {
  readonly #options: EngineFleetOptions;
  readonly #view = new FleetView();
  readonly #schedulers = new Map<string, EngineScheduler>();
  readonly #clients = new Map<string, { readonly url: string; readonly client: EngineClient }>();
  readonly #published = new Map<string, string>();
  readonly #publishPending = new Set<string>();
  #ownership: OwnershipManager | undefined;
  #index: ConfigurationIndex | undefined;
  #pinned: ReadonlyMap<string, readonly string[]> = new Map();
  #candidates: AdapterCandidates | undefined;
  #loadSeconds = INITIAL_LOAD_SECONDS;
  #serviceSeconds = INITIAL_SERVICE_SECONDS;

  constructor(options: EngineFleetOptions) {
    this.#options = options;
  }

  get view(): FleetView {
    return this.#view;
  }

  /** Set once: manager and fleet need each other. */
  bind(ownership: OwnershipManager): void {
    this.#ownership = ownership;
  }

  configure(index: ConfigurationIndex): void {
    this.#index = index;
    this.#candidates = new AdapterCandidates(index);
    this.#pinned = pinsByEngine(index, this.#candidates);
    this.#ownership?.setEngines(index.configuration.engines);
    for (const scheduler of this.#schedulers.values()) scheduler.configurationChanged();
  }

  /** The machine list changed: work waiting at leaving engines is handed back. */
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

  schedulerOf(engineId: string): EngineScheduler | undefined {
    const owned = this.#ownership?.get(engineId);
    return owned?.held === true ? this.#schedulers.get(engineId) : undefined;
  }

  owned(): readonly EngineScheduler[] {
    return [...this.#schedulers.values()].filter(
      (scheduler) => this.schedulerOf(scheduler.engine.id) !== undefined,
    );
  }

  // --- ownership events --------------------------------------------------------------------------

  held(ownership: EngineOwnership, state: OwnedState): void {
    const { engine } = ownership;
    let scheduler = this.#schedulers.get(engine.id);
    if (scheduler === undefined || scheduler.engine !== engine) {
      scheduler = this.#newScheduler(ownership);
      this.#schedulers.set(engine.id, scheduler);
    }
    scheduler.takeOver(state);
    this.#publishNow(engine.id);
  }

  lost(ownership: EngineOwnership): void {
    this.#schedulers.get(ownership.engine.id)?.relinquish();
    this.#publishNow(ownership.engine.id);
  }

  wantsNewFence(engineId: string): boolean {
    return this.#schedulers.get(engineId)?.wantsNewFence === true;
  }

  // --- choosing ----------------------------------------------------------------------------------

  /**
   * The engine that costs a request least, among those whose owner is known; `avoid` names ones that refused.
   */
  choose(model: AdapterRef, avoid: ReadonlySet<string>): EngineChoice | undefined {
    const outlooks = this.#outlooks(model, avoid);
    const stallWeight = this.#index?.tuning.stallWeight ?? 0;
    const times = {
      loadSeconds: this.#loadSeconds,
      loadQueueSeconds: 0,
      serviceSeconds: this.#serviceSeconds,
    };
    const chosen = chooseEngine(outlooks, times, stallWeight);
    if (chosen === undefined) return undefined;
    const engine = this.#index?.engines.get(chosen.engineId);
    const owner = this.ownerOf(chosen.engineId);
    if (engine === undefined || owner === undefined) return undefined;
    return { engine, owner, scheduler: this.schedulerOf(engine.id) };
  }

  /** Member that owns an engine, as far as this node knows. */
  ownerOf(engineId: string): Member | undefined {
    if (this.schedulerOf(engineId) !== undefined) return this.#options.self();
    const ownerId = this.#view.ownerOf(engineId);
    if (ownerId === undefined || ownerId === this.#options.self().id) return undefined;
    const member = this.#options.member(ownerId);
    return takesRequests(member) ? member : undefined;
  }

  observeServiceTime(seconds: number): void {
    this.#serviceSeconds += SMOOTHING * (seconds - this.#serviceSeconds);
  }

  #outlooks(model: AdapterRef, avoid: ReadonlySet<string>): EngineOutlook[] {
    const key = adapterKey(model);
    const ranked = this.#candidates?.of(model.base, model.adapter) ?? [];
    const outlooks: EngineOutlook[] = [];
    let absent = 0;
    for (const [rank, engine] of ranked.entries()) {
      if (avoid.has(engine.id) || this.#options.isLeaving(engine.machine)) continue;
      const outlook = this.#outlook(engine, key, rank);
      if (outlook === undefined) continue;
      if (outlook.adapter === 'absent') {
        absent += 1;
        if (absent > CANDIDATES_WEIGHED) continue;
      }
      outlooks.push(outlook);
    }
    return outlooks;
  }

  #outlook(engine: EngineDefinition, key: string, rank: number): EngineOutlook | undefined {
    const sameZone = engine.zone === this.#options.self().zone;
    const scheduler = this.schedulerOf(engine.id);
    if (scheduler === undefined) {
      if (this.ownerOf(engine.id) === undefined) return undefined;
      return this.#view.outlook(engine, key, rank, sameZone, this.#options.clock.now());
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
      pinnedKeys: () => this.#pinned.get(engine.id) ?? [],
      isReplicated: (key) => this.#isHeldElsewhere(engine, key),
      isServed: (adapter, version) =>
        this.#index?.adapter(engine.base, adapter)?.versions.includes(version) === true,
      onChange: () => this.#publishSoon(engine.id),
      onLoadTime: (milliseconds) => {
        this.#loadSeconds += SMOOTHING * (milliseconds / 1000 - this.#loadSeconds);
      },
    });
  }

  #isHeldElsewhere(engine: EngineDefinition, key: string): boolean {
    const others = this.#index?.enginesOf(engine.base) ?? [];
    return others.some(
      (other) =>
        other.id !== engine.id &&
        (this.schedulerOf(other.id)?.adapterState(key) === 'loaded' || this.#view.holds(other.id, key)),
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

  /** Publishes an engine's record when it says something new. */
  #publishNow(engineId: string): void {
    const record = this.#record(engineId);
    const text = JSON.stringify(record);
    if (this.#published.get(engineId) === text) return;
    this.#published.set(engineId, text);
    this.#options.publish(engineRecordKey(engineId), record);
  }

  #record(engineId: string): EngineRecord {
    const scheduler = this.schedulerOf(engineId);
    const fence = this.#ownership?.get(engineId)?.fence ?? 0;
    if (scheduler === undefined) return [0, 0, 0, 0, []];
    const { maxBatch } = scheduler.engine;
    const { metrics } = this.#options.telemetry;
    metrics.gauge('engine.batch', scheduler.inFlight, [`engine:${engineId}`]);
    metrics.gauge('engine.queue', scheduler.queued, [`engine:${engineId}`]);
    const loaded = scheduler.slots().filter((slot) => slot.state === 'ready' && !slot.draining);
    const hashes = loaded.map((slot) => hash32(slot.key)).sort((a, b) => a - b);
    // Counts go out in coarse steps, so that they do not make news of every request.
    const step = Math.max(1, Math.floor(maxBatch / LOAD_LEVELS));
    const running = Math.round(scheduler.inFlight / step) * step;
    const queued = Math.round(scheduler.queued / step) * step;
    return [fence, running, queued, Math.min(1, scheduler.reclaimableSlots), hashes];
  }
}

/** The newest version of each pinned adapter, at its first candidates: every node works out the same. */
function pinsByEngine(
  index: ConfigurationIndex,
  candidates: AdapterCandidates,
): ReadonlyMap<string, readonly string[]> {
  const pins = new Map<string, string[]>();
  for (const { base, name, versions, pinnedReplicas = 0 } of index.configuration.adapters) {
    if (pinnedReplicas === 0) continue;
    const key = adapterKey({ adapter: name, version: versions.at(-1) ?? '' });
    for (const engine of candidates.of(base, name).slice(0, pinnedReplicas)) {
      pins.set(engine.id, [...(pins.get(engine.id) ?? []), key]);
    }
  }
  return pins;
}
