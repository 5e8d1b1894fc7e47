import type { Clock } from '@canvasridge/clock';
import { adapterKey, type BackendDescription, type FleetState } from '@canvasridge/serving';
import {
  mayRunOn,
  type SlotDecision,
  type SlotRequest,
  type StreamProgress,
  type UseOutcome,
} from '@canvasridge/slots';
import type { BackendAvailability } from './backend-availability.js';
import { GrantChecker } from './grant-checker.js';
import type { BackendPicker, PickContext, PickResult } from './picker.js';

/** Asks the leader of a pool, a node that assigns engine slots to requests, for slots. */
export interface SlotSource {
  /** Undefined if no leader can be reached now. */
  acquire(pool: string, request: SlotRequest, cancelled: AbortSignal): Promise<SlotDecision | undefined>;
  /** Reports that a request was sent to an engine without a grant from the leader. */
  startedWithoutGrant(pool: string, request: SlotRequest, backendId: string): void;
  /** Reports that the engine has started its response. */
  started(pool: string, requestId: string): void;
  /** @param progress how fast the events of its stream came; undefined if it was none or that is not known */
  release(pool: string, requestId: string, outcome: UseOutcome, progress?: StreamProgress): void;
}

/** After serving an adapter, an engine is assumed to keep it loaded for this long. */
const RECENTLY_SERVED_MS = 4000;
/**
 * Retry-After while no leader is known, in milliseconds: the next leader starts half a second after the loss
 * of the last one was detected.
 */
const NO_LEADER_RETRY_MS = 600;

interface RecentServer {
  readonly backendId: string;
  readonly atMs: number;
}

/**
 * Picker for model engines: the leader of the pool names an engine that has the adapter loaded. While no
 * leader can be reached, a request may go to an engine that recently served the adapter or is listed with
 * it.
 */
export class SlotPicker implements BackendPicker {
  readonly #fleet: FleetState;
  readonly #availability: BackendAvailability;
  readonly #slots: SlotSource;
  readonly #grants: GrantChecker;
  readonly #clock: Clock;
  readonly #zone: string;
  readonly #recentServers = new Map<string, RecentServer>();
  readonly #running = new Map<string, number>();

  /** @param zone the zone of this node */
  constructor(
    fleet: FleetState,
    availability: BackendAvailability,
    slots: SlotSource,
    clock: Clock,
    zone: string,
  ) {
    this.#fleet = fleet;
    this.#availability = availability;
    this.#slots = slots;
    this.#grants = new GrantChecker(fleet, availability);
    this.#clock = clock;
    this.#zone = zone;
  }

  async pick(context: PickContext, cancelled: AbortSignal): Promise<PickResult> {
    const { generation } = context;
    if (generation === undefined) return { kind: 'none', reason: 'no-model-named', retryAfterMs: undefined };
    const pool = context.service.name;
    const askedMs = this.#clock.now();
    const refusal = await this.#availability.waitForAvailability(context, cancelled);
    if (refusal !== undefined) return refusal;
    const request: SlotRequest = {
      id: context.id,
      traceId: context.traceId,
      model: generation.model,
      adapter: generation.adapter,
      priority: context.priority,
      tenant: context.tenant,
      route: context.route.name,
      objectiveMs: context.route.objectiveMs,
      gapObjectiveMs: context.route.gapObjectiveMs,
      zone: this.#zone,
      ageMs: context.ageMs + this.#clock.now() - askedMs,
      timeoutMs: context.timeoutMs,
      startWithinMs: context.startWithinMs,
      ...(context.isContinued === true ? { isContinued: true } : {}),
      // The leader can't know that this node must avoid these: slots granted there would have to be given
      // back.
      excluded: [...context.excluded, ...this.#availability.backendsToAvoid(pool)],
      softwareVersion: context.softwareVersion,
      ...(context.isTakeover === true ? { isTakeover: true } : {}),
      promptTokens: generation.promptTokens,
      promptKey: generation.promptKey,
    };
    const decision = await this.#slots.acquire(pool, request, cancelled);
    if (decision === undefined) return this.#withoutLeader(context, request, cancelled);
    if (decision.kind === 'refused') {
      return { kind: 'none', reason: decision.reason, retryAfterMs: decision.retryAfterMs };
    }
    const backend = this.#grants.backend(pool, decision);
    if (decision.ratePerSecond === null) this.#availability.forgetRateLimit(backend.id);
    const isChargedToRateLimit =
      typeof decision.ratePerSecond === 'number' || this.#availability.isRateLimited(backend.id);
    const releaseOutcome = await this.#grants.outcomeIfUnusable(decision, request);
    if (releaseOutcome !== undefined) {
      this.#slots.release(pool, request.id, releaseOutcome);
      const excluded = this.#grants.excludedAfter(backend, context);
      const ageMs = context.ageMs + this.#clock.now() - askedMs;
      return this.pick({ ...context, excluded, ageMs }, cancelled);
    }
    return {
      kind: 'picked',
      backend,
      how: 'granted',
      isChargedToRateLimit,
      started: () => this.#slots.started(pool, request.id),
      finish: (outcome, progress) => {
        this.#slots.release(pool, request.id, outcome, progress);
        if (outcome === 'served') this.#rememberServer(request, backend.id);
      },
    };
  }

  async #withoutLeader(
    context: PickContext,
    request: SlotRequest,
    cancelled: AbortSignal,
  ): Promise<PickResult> {
    const backend = this.#bestWithoutLeader(context, request);
    if (backend === undefined) {
      return { kind: 'none', reason: 'no-pool-leader', retryAfterMs: NO_LEADER_RETRY_MS };
    }
    const isChargedToRateLimit = this.#availability.isRateLimited(backend.id);
    if (isChargedToRateLimit && !(await this.#availability.takeRateLimitUnit(backend.id))) {
      return this.#withoutLeader(context, request, cancelled);
    }
    const pool = context.service.name;
    this.#slots.startedWithoutGrant(pool, request, backend.id);
    this.#running.set(backend.id, (this.#running.get(backend.id) ?? 0) + 1);
    const finish = (outcome: UseOutcome): void => {
      this.#running.set(backend.id, (this.#running.get(backend.id) ?? 1) - 1);
      this.#slots.release(pool, request.id, outcome);
      if (outcome === 'served') this.#rememberServer(request, backend.id);
      else if (outcome === 'not-present') this.#recentServers.delete(modelKey(request));
    };
    return {
      kind: 'picked',
      backend,
      how: 'seen',
      isChargedToRateLimit,
      started: () => this.#slots.started(pool, request.id),
      finish,
    };
  }

  #bestWithoutLeader(context: PickContext, request: SlotRequest): BackendDescription | undefined {
    const recentServer = this.#recentServers.get(modelKey(request));
    let best: BackendDescription | undefined;
    let bestRunning = Infinity;
    for (const backend of this.#fleet.backendsOf(context.service.name)) {
      if (backend.state !== 'ready' || !mayRunOn(request, backend)) continue;
      if (this.#availability.isUnavailable(backend.id)) continue;
      const isRecentServer =
        recentServer?.backendId === backend.id && this.#clock.now() - recentServer.atMs < RECENTLY_SERVED_MS;
      if (!isRecentServer && !this.#isListedWithModel(backend, request)) continue;
      const running = this.#running.get(backend.id) ?? 0;
      if (running >= bestRunning) continue;
      best = backend;
      bestRunning = running;
    }
    return best;
  }

  #isListedWithModel(backend: BackendDescription, request: SlotRequest): boolean {
    const model = backend.models.find((held) => held.name === request.model);
    if (model === undefined || request.adapter === undefined) return model !== undefined;
    const held = model.adapters.find((adapter) => adapter.name === request.adapter);
    return held !== undefined && held.version >= this.#fleet.adapterVersion(request.model, request.adapter);
  }

  #rememberServer(request: SlotRequest, backendId: string): void {
    this.#recentServers.set(modelKey(request), { backendId, atMs: this.#clock.now() });
    if (this.#recentServers.size > MAX_RECENT_SERVERS) this.#forgetOldestServer();
  }

  #forgetOldestServer(): void {
    const oldest = this.#recentServers.keys().next();
    if (oldest.done !== true) this.#recentServers.delete(oldest.value);
  }
}

const MAX_RECENT_SERVERS = 2048;

function modelKey(request: SlotRequest): string {
  return request.adapter === undefined ? request.model : adapterKey(request.model, request.adapter);
}
