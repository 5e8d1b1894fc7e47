import type { Clock } from '@canvasridge/clock';
import { adapterKey, type BackendDescription, type FleetState } from '@canvasridge/serving';
import type { SlotDecision, SlotRequest, UseOutcome } from '@canvasridge/slots';
import type { BackendAvailability } from './backend-availability.js';
import type { BackendPicker, PickContext, PickResult } from './picker.js';

/** Asks the node that leads a pool for slots. */
export interface SlotSource {
  /** Undefined when no leader can be asked now. */
  acquire(pool: string, request: SlotRequest, cancelled: AbortSignal): Promise<SlotDecision | undefined>;
  /** A request was sent to an engine without a grant. */
  began(pool: string, request: SlotRequest, backendId: string): void;
  /** The engine has begun its answer. */
  started(pool: string, requestId: string): void;
  release(pool: string, requestId: string, outcome: UseOutcome): void;
}

/** How long an engine is believed to have an adapter that it served. */
const SEEN_MS = 4000;
/** When a refused client comes back while no leader is known: the next one leads half a second after a loss was seen. */
const NO_LEADER_RETRY_MS = 600;

interface Sighting {
  readonly backendId: string;
  readonly atMs: number;
}

/**
 * For model engines: the leader of the pool names an engine that has the adapter loaded. While no leader
 * answers, a request may still go to an engine that served the adapter just now or is listed with it.
 */
export class SlotPicker implements BackendPicker {
  readonly #fleet: FleetState;
  readonly #availability: BackendAvailability;
  readonly #slots: SlotSource;
  readonly #clock: Clock;
  readonly #sightings = new Map<string, Sighting>();
  readonly #running = new Map<string, number>();

  constructor(fleet: FleetState, availability: BackendAvailability, slots: SlotSource, clock: Clock) {
    this.#fleet = fleet;
    this.#availability = availability;
    this.#slots = slots;
    this.#clock = clock;
  }

  async pick(context: PickContext, cancelled: AbortSignal): Promise<PickResult> {
    const { generation } = context;
    if (generation === undefined) return { kind: 'none', reason: 'no-model-named', retryAfterMs: undefined };
    const pool = context.service.name;
    const askedMs = this.#clock.now();
    const refusal = await this.#availability.refusal(context, cancelled);
    if (refusal !== undefined) return refusal;
    const request: SlotRequest = {
      id: context.id,
      traceId: context.traceId,
      model: generation.model,
      adapter: generation.adapter,
      priority: context.priority,
      tenant: context.tenant,
      objectiveMs: context.route.objectiveMs,
      ageMs: context.ageMs + this.#clock.now() - askedMs,
      timeoutMs: context.timeoutMs,
      startWithinMs: context.startWithinMs,
      // The leader can't know of these: each slot there would be given back.
      excluded: [...context.excluded, ...this.#availability.closedTo(pool)],
      promptTokens: generation.promptTokens,
      promptKey: generation.promptKey,
    };
    const decision = await this.#slots.acquire(pool, request, cancelled);
    if (decision === undefined) return this.#withoutLeader(context, request, cancelled);
    if (decision.kind === 'refused') {
      return { kind: 'none', reason: decision.reason, retryAfterMs: decision.retryAfterMs };
    }
    const backend = this.#granted(pool, decision);
    if (decision.ratePerSecond === null) this.#availability.forgetRateLimit(backend.id);
    const isRateCounted =
      typeof decision.ratePerSecond === 'number' || this.#availability.isRateLimited(backend.id);
    const giveBack = await this.#mustGiveBack(decision);
    if (giveBack !== undefined) {
      this.#slots.release(pool, request.id, giveBack);
      const excluded = [...context.excluded, backend.id];
      const ageMs = context.ageMs + this.#clock.now() - askedMs;
      return this.pick({ ...context, excluded, ageMs }, cancelled);
    }
    return {
      kind: 'picked',
      backend,
      how: 'granted',
      isRateCounted,
      started: () => this.#slots.started(pool, request.id),
      finish: (outcome) => {
        this.#slots.release(pool, request.id, outcome);
        if (outcome === 'served') this.#saw(request, backend.id);
      },
    };
  }

  /** Why a slot must be given back, so that the request asks again for another one; undefined if it can be used. */
  async #mustGiveBack(decision: SlotDecision & { kind: 'granted' }): Promise<UseOutcome | undefined> {
    const { backendId } = decision;
    // This node has heard that the engine leaves before the leader has.
    if (this.#fleet.isLeaving(backendId) || this.#isGone(decision)) return 'refused';
    // It turned another request of this node away while this one waited for its slot. To other nodes it may be good.
    if (this.#availability.isBackingOff(backendId)) return 'cancelled';
    // Granted within its limit, by a leader that counts what all nodes send.
    if (typeof decision.ratePerSecond === 'number') return undefined;
    if (!this.#availability.isRateLimited(backendId)) return undefined;
    return (await this.#availability.takeUnit(backendId)) ? undefined : 'cancelled';
  }

  /**
   * Whether an engine that is not listed here has left the list, and is not just new: its entry is older than the list.
   * A node that started after the engine left never saw it, and a leader that is cut off still names it.
   */
  #isGone({ backendId, entryEra, entryRevision }: SlotDecision & { kind: 'granted' }): boolean {
    if (this.#fleet.backend(backendId) !== undefined || entryRevision === undefined) return false;
    return this.#fleet.backendsReach({ era: entryEra, revision: entryRevision });
  }

  /** The leader may know an engine that is not listed here yet. */
  #granted(service: string, decision: SlotDecision & { kind: 'granted' }): BackendDescription {
    const listed = this.#fleet.backend(decision.backendId);
    if (listed !== undefined) return listed;
    const { backendId: id, address } = decision;
    return { id, service, address, zone: '', state: 'ready', slots: 1, models: [] };
  }

  async #withoutLeader(
    context: PickContext,
    request: SlotRequest,
    cancelled: AbortSignal,
  ): Promise<PickResult> {
    const backend = this.#bestSeen(context, request);
    if (backend === undefined) {
      return { kind: 'none', reason: 'no-pool-leader', retryAfterMs: NO_LEADER_RETRY_MS };
    }
    const isRateCounted = this.#availability.isRateLimited(backend.id);
    if (isRateCounted && !(await this.#availability.takeUnit(backend.id))) {
      return this.#withoutLeader(context, request, cancelled);
    }
    const pool = context.service.name;
    this.#slots.began(pool, request, backend.id);
    this.#running.set(backend.id, (this.#running.get(backend.id) ?? 0) + 1);
    const finish = (outcome: UseOutcome): void => {
      this.#running.set(backend.id, (this.#running.get(backend.id) ?? 1) - 1);
      this.#slots.release(pool, request.id, outcome);
      if (outcome === 'served') this.#saw(request, backend.id);
      else if (outcome === 'not-present') this.#sightings.delete(sightingKey(request));
    };
    return {
      kind: 'picked',
      backend,
      how: 'seen',
      isRateCounted,
      started: () => this.#slots.started(pool, request.id),
      finish,
    };
  }

  #bestSeen(context: PickContext, request: SlotRequest): BackendDescription | undefined {
    const sighting = this.#sightings.get(sightingKey(request));
    let best: BackendDescription | undefined;
    let bestRunning = Infinity;
    for (const backend of this.#fleet.backendsOf(context.service.name)) {
      if (backend.state !== 'ready' || request.excluded.includes(backend.id)) continue;
      if (this.#availability.isClosed(backend.id)) continue;
      const isSeen = sighting?.backendId === backend.id && this.#clock.now() - sighting.atMs < SEEN_MS;
      if (!isSeen && !this.#isListed(backend, request)) continue;
      const running = this.#running.get(backend.id) ?? 0;
      if (running >= bestRunning) continue;
      best = backend;
      bestRunning = running;
    }
    return best;
  }

  #isListed(backend: BackendDescription, request: SlotRequest): boolean {
    const model = backend.models.find((held) => held.name === request.model);
    if (model === undefined || request.adapter === undefined) return model !== undefined;
    const held = model.adapters.find((adapter) => adapter.name === request.adapter);
    return held !== undefined && held.version >= this.#fleet.adapterVersion(request.model, request.adapter);
  }

  #saw(request: SlotRequest, backendId: string): void {
    this.#sightings.set(sightingKey(request), { backendId, atMs: this.#clock.now() });
    if (this.#sightings.size > SIGHTINGS_KEPT) this.#dropOldest();
  }

  #dropOldest(): void {
    const oldest = this.#sightings.keys().next();
    if (oldest.done !== true) this.#sightings.delete(oldest.value);
  }
}

const SIGHTINGS_KEPT = 2048;

function sightingKey(request: SlotRequest): string {
  return request.adapter === undefined ? request.model : adapterKey(request.model, request.adapter);
}
