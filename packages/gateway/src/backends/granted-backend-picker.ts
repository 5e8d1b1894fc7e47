import type { Clock } from '@canvasridge/clock';
import type { FleetState } from '@canvasridge/serving';
import type { PoolRequest, SlotDecision, UseOutcome } from '@canvasridge/slots';
import type { BackendAvailability } from './backend-availability.js';
import { GrantChecker, type Grant } from './grant-checker.js';
import type { BackendPicker, PickContext, PickResult } from './picker.js';

/** Asks the leader of a pool of plain backends, a node that assigns their slots to requests, for slots. */
export interface PlainSlotSource {
  /** Whether a leader grants the backends of this service, as far as this node can tell. */
  isGranted(service: string): boolean;
  /** Undefined if no leader is known, or if it did not answer within `answerWithinMs` or did not just before. */
  acquirePlain(
    pool: string,
    request: PoolRequest,
    cancelled: AbortSignal,
    answerWithinMs: number,
  ): Promise<SlotDecision | undefined>;
  /** Requests that this node may run on the backends of a service without a grant; undefined for any number. */
  maxWithoutGrant(service: string): number | undefined;
  /** Requests that this node runs on the backends of a service. */
  runningOn(service: string): number;
  /** Reports that a request was sent to a backend without a grant from the leader. */
  startedWithoutGrant(pool: string, request: PoolRequest, backendId: string): void;
  release(pool: string, requestId: string, outcome: UseOutcome): void;
}

/** Share of the objective within which a leader has to answer: the time that a message there and back may take. */
const ANSWER_WITHIN_SHARE = 0.15;
/** Retry-After of a request that may not be sent without a grant: a leader that was lost is replaced by then. */
const NO_GRANT_RETRY_MS = 800;

/**
 * Picker for interchangeable backends with few slots: the leader of the pool names a backend with a free slot.
 * Without a leader that answers soon, and for services that no leader grants, this node chooses a backend itself.
 */
export class GrantedBackendPicker implements BackendPicker {
  readonly #availability: BackendAvailability;
  readonly #grants: GrantChecker;
  readonly #slots: PlainSlotSource;
  readonly #withoutLeader: BackendPicker;
  readonly #clock: Clock;
  readonly #zone: string;

  /**
   * @param withoutLeader chooses a backend while no leader grants one
   * @param zone the zone of this node
   */
  constructor(
    fleet: FleetState,
    availability: BackendAvailability,
    slots: PlainSlotSource,
    withoutLeader: BackendPicker,
    clock: Clock,
    zone: string,
  ) {
    this.#availability = availability;
    this.#grants = new GrantChecker(fleet, availability);
    this.#slots = slots;
    this.#withoutLeader = withoutLeader;
    this.#clock = clock;
    this.#zone = zone;
  }

  async pick(context: PickContext, cancelled: AbortSignal): Promise<PickResult> {
    const pool = context.service.name;
    if (!this.#slots.isGranted(pool)) return this.#withoutLeader.pick(context, cancelled);
    const askedMs = this.#clock.now();
    const refusal = await this.#availability.waitForAvailability(context, cancelled);
    if (refusal !== undefined) return refusal;
    const aged = (): PickContext => ({ ...context, ageMs: context.ageMs + this.#clock.now() - askedMs });
    const request = this.#request(aged());
    const answerWithinMs = request.objectiveMs * ANSWER_WITHIN_SHARE;
    const decision = await this.#slots.acquirePlain(pool, request, cancelled, answerWithinMs);
    if (decision === undefined) return this.#pickWithoutLeader(aged(), request, cancelled);
    if (decision.kind === 'refused') {
      return { kind: 'none', reason: decision.reason, retryAfterMs: decision.retryAfterMs };
    }
    return this.#use(decision, request, aged, cancelled);
  }

  #request(context: PickContext): PoolRequest {
    const { id, traceId, priority, tenant, ageMs, timeoutMs, startWithinMs, route, service } = context;
    const { isTakeover } = context;
    return {
      id,
      traceId,
      priority,
      tenant,
      ageMs,
      timeoutMs,
      startWithinMs,
      route: route.name,
      objectiveMs: route.objectiveMs,
      zone: this.#zone,
      // The leader can't know that this node must avoid these.
      excluded: [...context.excluded, ...this.#availability.backendsToAvoid(service.name)],
      softwareVersion: context.softwareVersion,
      ...(isTakeover === true ? { isTakeover } : {}),
    };
  }

  async #use(
    grant: Grant,
    request: PoolRequest,
    aged: () => PickContext,
    cancelled: AbortSignal,
  ): Promise<PickResult> {
    const pool = aged().service.name;
    const backend = this.#grants.backend(pool, grant);
    const isChargedToRateLimit = this.#availability.isRateLimited(backend.id);
    const releaseOutcome = await this.#grants.outcomeIfUnusable(grant, request);
    if (releaseOutcome !== undefined) {
      this.#slots.release(pool, request.id, releaseOutcome);
      const context = aged();
      const excluded = this.#grants.excludedAfter(backend, context);
      return this.pick({ ...context, excluded }, cancelled);
    }
    return {
      kind: 'picked',
      backend,
      how: 'granted',
      isChargedToRateLimit,
      started: noop,
      finish: (outcome) => this.#slots.release(pool, request.id, outcome),
    };
  }

  /** A leader elected meanwhile learns of the request from this node, and of its end. */
  async #pickWithoutLeader(
    context: PickContext,
    request: PoolRequest,
    cancelled: AbortSignal,
  ): Promise<PickResult> {
    const pool = context.service.name;
    if (this.#slots.runningOn(pool) >= (this.#slots.maxWithoutGrant(pool) ?? Infinity))
      return { kind: 'none', reason: 'no-grant', retryAfterMs: NO_GRANT_RETRY_MS };
    const picked = await this.#withoutLeader.pick(context, cancelled);
    if (picked.kind === 'none') return picked;
    this.#slots.startedWithoutGrant(pool, request, picked.backend.id);
    const finish = (outcome: UseOutcome): void => {
      picked.finish(outcome);
      this.#slots.release(pool, request.id, outcome);
    };
    return { ...picked, finish };
  }
}

/** Leaders of plain backends are not told when a response starts. */
function noop(): void {
  return;
}
