import type { Clock } from '@canvasridge/clock';
import { adapterKey, type BackendDescription, type FleetState } from '@canvasridge/serving';
import {
  mayRunOn,
  type SlotDecision,
  type SlotRequest,
  type StreamProgress,
  type UseOutcome,
} from '@canvasridge/slots';
import type { AdapterVersionCheck } from './adapter-version-check.js';
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
  /** Version of the adapter that it served; undefined if that is not known. */
  readonly adapterVersion: number | undefined;
  readonly atMs: number;
}

/** A backend that may run a request without a grant. */
interface UngrantedChoice {
  readonly backend: BackendDescription;
  readonly adapterVersion: number | undefined;
  /** Whether it holds the published version of the adapter; an outdated one may still serve for a short time. */
  readonly isCurrent: boolean;
  /** Requests that this node runs there without grants. */
  readonly running: number;
}

/**
 * Picker for model engines: the leader of the pool names an engine that has the adapter loaded. While no
 * leader can be reached, a request may go to an engine that recently served the adapter or is listed with
 * it.
 */
export class SlotPicker implements BackendPicker {
  readonly #fleet: FleetState;
  readonly #availability: BackendAvailability;
  readonly #versions: AdapterVersionCheck;
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
    versions: AdapterVersionCheck,
    slots: SlotSource,
    clock: Clock,
    zone: string,
  ) {
    this.#fleet = fleet;
    this.#availability = availability;
    this.#versions = versions;
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
      adapterVersion: decision.adapterVersion,
      how: 'granted',
      isChargedToRateLimit,
      started: () => this.#slots.started(pool, request.id),
      finish: (outcome, progress) => {
        this.#slots.release(pool, request.id, outcome, progress);
        if (outcome === 'served') this.#rememberServer(request, backend.id, decision.adapterVersion);
      },
    };
  }

  async #withoutLeader(
    context: PickContext,
    request: SlotRequest,
    cancelled: AbortSignal,
  ): Promise<PickResult> {
    const best = this.#bestWithoutLeader(context, request);
    if (best === undefined) {
      return { kind: 'none', reason: 'no-pool-leader', retryAfterMs: NO_LEADER_RETRY_MS };
    }
    const { backend, adapterVersion } = best;
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
      if (outcome === 'served') this.#rememberServer(request, backend.id, adapterVersion);
      else if (outcome === 'not-present') this.#recentServers.delete(modelKey(request));
    };
    return {
      kind: 'picked',
      backend,
      adapterVersion,
      how: 'seen',
      isChargedToRateLimit,
      started: () => this.#slots.started(pool, request.id),
      finish,
    };
  }

  /** Prefers engines with the published version of the adapter, then those that this node uses least. */
  #bestWithoutLeader(context: PickContext, request: SlotRequest): UngrantedChoice | undefined {
    let best: UngrantedChoice | undefined;
    for (const backend of this.#fleet.backendsOf(context.service.name)) {
      if (backend.state !== 'ready' || !mayRunOn(request, backend)) continue;
      if (this.#availability.isUnavailable(backend.id)) continue;
      const choice = this.#choiceWithoutLeader(backend, request);
      if (choice !== undefined && (best === undefined || isBetter(choice, best))) best = choice;
    }
    return best;
  }

  /** Undefined if the engine is not known to hold what the request needs. */
  #choiceWithoutLeader(backend: BackendDescription, request: SlotRequest): UngrantedChoice | undefined {
    const { model, adapter } = request;
    const running = this.#running.get(backend.id) ?? 0;
    const recent = this.#recentServerOf(request, backend.id);
    const held = backend.models.find(({ name }) => name === model);
    if (adapter === undefined) {
      const isUsable = recent !== undefined || held !== undefined;
      return isUsable ? { backend, adapterVersion: undefined, isCurrent: true, running } : undefined;
    }
    const adapterVersion = this.#versions.heldVersion({ model, adapter }, backend, recent?.adapterVersion);
    const isCurrent = (adapterVersion ?? 0) >= this.#fleet.adapterVersion(model, adapter);
    const isListed = held?.adapters.some(({ name }) => name === adapter) === true && isCurrent;
    if (recent === undefined && !isListed) return undefined;
    // Without a version that is known to be recent enough, no engine is asked to check its own: most likely, nobody has
    // replaced the adapter there since it served.
    const verdict = this.#versions.verdict(request, { backend, adapterVersion });
    return verdict.kind === 'current' ? { backend, adapterVersion, isCurrent, running } : undefined;
  }

  #recentServerOf(request: SlotRequest, backendId: string): RecentServer | undefined {
    const recent = this.#recentServers.get(modelKey(request));
    const isRecent = recent?.backendId === backendId && this.#clock.now() - recent.atMs < RECENTLY_SERVED_MS;
    return isRecent ? recent : undefined;
  }

  #rememberServer(request: SlotRequest, backendId: string, adapterVersion: number | undefined): void {
    this.#recentServers.set(modelKey(request), { backendId, adapterVersion, atMs: this.#clock.now() });
    if (this.#recentServers.size > MAX_RECENT_SERVERS) this.#forgetOldestServer();
  }

  #forgetOldestServer(): void {
    const oldest = this.#recentServers.keys().next();
    if (oldest.done !== true) this.#recentServers.delete(oldest.value);
  }
}

const MAX_RECENT_SERVERS = 2048;

function isBetter(choice: UngrantedChoice, best: UngrantedChoice): boolean {
  if (choice.isCurrent !== best.isCurrent) return choice.isCurrent;
  return choice.running < best.running;
}

function modelKey(request: SlotRequest): string {
  return request.adapter === undefined ? request.model : adapterKey(request.model, request.adapter);
}
