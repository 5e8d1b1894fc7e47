import type { Clock, Timer } from '@canvasridge/clock';
import type { BackendDescription } from '@canvasridge/serving';
import type { Telemetry } from '@canvasridge/telemetry';
import { chooseBackend } from './backend-choice.js';
import { meanServiceMs, slotGapMs } from './backend-turn.js';
import { GrantedBackend } from './granted-backend.js';
import type { GrantFigures, GrantingPool } from './granting-pool.js';
import type { DisabledMechanisms } from './mechanisms.js';
import { ServiceTime } from './service-time.js';
import {
  grantDecision,
  mayRunOn,
  type PoolRequest,
  type RefusalReason,
  type RunningUse,
  type SlotDecision,
  type UseOutcome,
} from './slot-request.js';
import { WaitingList, type WaitingRequest, type WaitObstacle } from './waiting-list.js';

export interface BackendPoolOptions {
  readonly service: string;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  /** Mechanisms that are disabled by a setting. */
  readonly disabled: DisabledMechanisms;
  /** Whether a backend is leaving or has left, as far as this node knows. */
  readonly isLeaving: (backendId: string) => boolean;
  /** A tenant's weight in the fair sharing of backends, above 0. */
  readonly tenantWeight: (tenant: string) => number;
  /** Requests that a backend may turn away in a second before it fails; undefined for any number. */
  readonly rejectionLimit?: () => number | undefined;
}

/** Figures of a pool of plain backends for logs and metrics. */
export interface BackendPoolFigures extends GrantFigures {
  /** Backends that are ready. */
  readonly backends: number;
  /** Their slots together. */
  readonly slots: number;
  /** Backends that count as full because they turned away a granted request. */
  readonly markedFull: number;
  /** Learnt mean service time, in ms. */
  readonly serviceMs: number;
}

interface GrantedUse {
  /** Kept beyond its removal from the list, until its requests have ended. */
  readonly backend: GrantedBackend;
  readonly lostTimer: Timer;
}

/** How often waiting requests are checked for whether they can still be served in time. */
const CHECK_PERIOD_MS = 40;
/** A granted request whose end was never reported counts as ended this long after its timeout. */
const LOST_RELEASE_MARGIN_MS = 1000;
/** Retry delay if the pool has no backend for the request. */
const RETRY_WITHOUT_BACKEND_MS = 500;
/** Bounds of the retry delay given to a client. Estimates beyond the upper one are unreliable. */
const MIN_RETRY_AFTER_MS = 20;
const MAX_RETRY_AFTER_MS = 5000;

/**
 * Grants the slots of all backends of one service without engines to requests of all nodes. It is active on the pool's
 * leader. Its grants are kept in memory only: a new leader knows what other nodes report, and learns the rest from backends
 * that turn requests away. docs/design/backend-slots.md describes it.
 */
export class BackendPool implements GrantingPool {
  readonly #options: BackendPoolOptions;
  readonly #backends = new Map<string, GrantedBackend>();
  readonly #uses = new Map<string, GrantedUse>();
  readonly #serviceTime: ServiceTime;
  readonly #waiting: WaitingList<PoolRequest>;
  readonly #timers = new Set<Timer>();
  #isCheckScheduled = false;
  #isClosed = false;

  constructor(options: BackendPoolOptions) {
    this.#options = options;
    const { clock, disabled, tenantWeight } = options;
    this.#serviceTime = new ServiceTime(clock.now());
    this.#waiting = new WaitingList(() => this.#serviceTime.meanMs(clock.now()), disabled, {
      gapMs: () => slotGapMs(this.#ready(), clock.now()),
      weightOf: tenantWeight,
    });
  }

  /** Updates the pool to the published list of backends. */
  setBackends(listed: readonly BackendDescription[]): void {
    const nowMs = this.#options.clock.now();
    const ids = new Set(listed.map(({ id }) => id));
    for (const id of this.#backends.keys()) if (!ids.has(id)) this.#backends.delete(id);
    for (const description of listed) {
      const known = this.#backends.get(description.id);
      if (known !== undefined) known.description = description;
      else this.#backends.set(description.id, this.#newBackend(description, nowMs));
    }
    this.#grantWaiting();
  }

  #newBackend(description: BackendDescription, nowMs: number): GrantedBackend {
    return new GrantedBackend(description, nowMs, this.#serviceTime, this.#options.rejectionLimit);
  }

  startLeading(): void {
    this.#grantWaiting();
  }

  /** Does nothing: until all nodes have reported, requests are granted as well, and backends turn away what is too much. */
  handleAllUsesReported(): void {
    return;
  }

  /** A request that waits or runs already, as when its node asks again because it got no answer, keeps its place. */
  acquire(request: PoolRequest, decide: (decision: SlotDecision) => void): void {
    const nowMs = this.#options.clock.now();
    const granted = this.#uses.get(request.id);
    if (granted !== undefined) {
      decide(grantDecision(request.id, granted.backend.description));
      return;
    }
    if (this.#waiting.get(request.id) !== undefined) return;
    const arrivedMs = nowMs - request.ageMs;
    const waiting = { request, arrivedMs, returned: false, decide, obstacle: 'none' as const };
    if (this.#isClosed) {
      this.#refuse(waiting, 'stopping', 0);
      return;
    }
    this.#waiting.add(waiting, nowMs);
    this.#grantWaiting();
    if (this.#waiting.get(request.id) === undefined) return;
    this.#refuseUnservable();
    this.#scheduleCheck();
  }

  cancel(requestId: string, isWithdrawn = false): void {
    if (isWithdrawn) this.#waiting.remove(requestId);
    else this.#waiting.unserved(requestId, this.#options.clock.now());
  }

  started(): void {
    return;
  }

  release(requestId: string, outcome: UseOutcome): void {
    const use = this.#uses.get(requestId);
    if (use === undefined) return;
    this.#uses.delete(requestId);
    this.#timers.delete(use.lostTimer);
    use.lostTimer.cancel();
    const { backend } = use;
    const nowMs = this.#options.clock.now();
    if (outcome === 'refused') backend.recordTurnedAway(nowMs);
    backend.running -= 1;
    backend.serviceTime.end(nowMs, outcome === 'served');
    if (outcome !== 'served' && outcome !== 'cancelled') backend.failures.record(nowMs);
    if (outcome === 'refused') this.#markFull(backend, nowMs);
    else backend.fullUntilMs = -Infinity;
    this.#grantWaiting();
  }

  adoptUse({ requestId, backendId, leftMs }: RunningUse): void {
    const backend = this.#backends.get(backendId);
    if (backend === undefined || this.#uses.has(requestId) || this.#isClosed) return;
    this.#waiting.remove(requestId);
    this.#begin(requestId, backend, leftMs);
  }

  close(): void {
    this.#isClosed = true;
    for (const timer of this.#timers) timer.cancel();
    for (const waiting of this.#waiting.all()) {
      this.#waiting.remove(waiting.request.id);
      this.#refuse(waiting, 'stopping', 0);
    }
  }

  describe(): BackendPoolFigures {
    const nowMs = this.#options.clock.now();
    const ready = this.#ready();
    return {
      waiting: this.#waiting.size,
      running: this.#uses.size,
      shares: this.#waiting.describeShares(nowMs),
      backends: ready.length,
      slots: ready.reduce((sum, { description }) => sum + description.slots, 0),
      markedFull: ready.filter(({ fullUntilMs }) => fullUntilMs > nowMs).length,
      serviceMs: Math.round(this.#serviceTime.meanMs(nowMs)),
    };
  }

  // --- grants ------------------------------------------------------------------------------------

  #ready(): GrantedBackend[] {
    return [...this.#backends.values()].filter(
      ({ description: { id, state, slots } }) =>
        state === 'ready' && slots > 0 && !this.#options.isLeaving(id),
    );
  }

  /** The backends that a request may be sent to, whether they have a free slot or not. */
  #usable(request: PoolRequest): GrantedBackend[] {
    return this.#ready().filter(({ description }) => mayRunOn(request, description));
  }

  /**
   * Grants slots until no waiting request can use one: first to those of kinds that lack their least share, then in order
   * to those that meet their objective with it, and what is left to the others, of which those that are late in any case
   * come first.
   */
  #grantWaiting(): void {
    if (this.#isClosed || this.#waiting.size === 0) return;
    const nowMs = this.#options.clock.now();
    if (!this.#hasRoom(nowMs)) return;
    for (const waiting of this.#waiting.underserved(nowMs)) this.#grantIf(waiting, () => true, nowMs);
    const inOrder = this.#waiting.inOrder(nowMs);
    const others = inOrder.filter((waiting) => !this.#grantIf(waiting, meetsObjective, nowMs));
    const isLate = (waiting: WaitingRequest<PoolRequest>): boolean => this.#waiting.isLate(waiting, nowMs);
    for (const waiting of others.filter(isLate)) this.#grantIf(waiting, () => true, nowMs);
    for (const waiting of others) if (!isLate(waiting)) this.#grantIf(waiting, () => true, nowMs);
  }

  #hasRoom(nowMs: number): boolean {
    return this.#ready().some((backend) => backend.mayQueue(nowMs));
  }

  /** Grants a request the best of the backends that fulfil a condition; returns whether there is one. */
  #grantIf(waiting: WaitingRequest<PoolRequest>, condition: GrantCondition, nowMs: number): boolean {
    if (!this.#hasRoom(nowMs)) return false;
    const usable = this.#usable(waiting.request).filter((backend) => condition(waiting, backend, nowMs));
    const backend = chooseBackend(waiting.request, usable, nowMs);
    if (backend !== undefined) this.#grant(waiting, backend, nowMs);
    return backend !== undefined;
  }

  #grant(waiting: WaitingRequest<PoolRequest>, backend: GrantedBackend, nowMs: number): void {
    const { request, arrivedMs } = waiting;
    this.#waiting.granted(request.id, nowMs);
    this.#logDecision('slot.granted', waiting, { backend: backend.description.id, running: backend.running });
    backend.recordGrant(nowMs);
    this.#begin(request.id, backend, request.timeoutMs - (nowMs - arrivedMs));
    waiting.decide(grantDecision(request.id, backend.description));
  }

  /** @param leftMs time until the request's timeout, some time after which it counts as ended in any case */
  #begin(requestId: string, backend: GrantedBackend, leftMs: number): void {
    backend.running += 1;
    backend.serviceTime.begin(this.#options.clock.now());
    const lostAfterMs = Math.max(leftMs, 0) + LOST_RELEASE_MARGIN_MS;
    const lostTimer = this.#after(lostAfterMs, () => this.release(requestId, 'cancelled'));
    this.#uses.set(requestId, { backend, lostTimer });
  }

  /**
   * Others use slots of the backend that this node does not know of. One of them is free again after a mean service time
   * divided by its slots, or when a request of this pool ends there.
   */
  #markFull(backend: GrantedBackend, nowMs: number): void {
    const spanMs = backend.serviceTime.meanMs(nowMs) / backend.description.slots;
    backend.fullUntilMs = nowMs + spanMs;
    this.#after(spanMs, () => this.#grantWaiting());
  }

  // --- refusals ----------------------------------------------------------------------------------

  #scheduleCheck(): void {
    if (this.#isCheckScheduled) return;
    this.#isCheckScheduled = true;
    this.#after(CHECK_PERIOD_MS, () => {
      this.#isCheckScheduled = false;
      this.#grantWaiting();
      this.#refuseUnservable();
      if (this.#waiting.size > 0) this.#scheduleCheck();
    });
  }

  /** Refuses each waiting request whose turn can't come in time. None is refused merely because it will be late. */
  #refuseUnservable(): void {
    const nowMs = this.#options.clock.now();
    let ahead = 0;
    for (const waiting of this.#waiting.inOrder(nowMs)) {
      const { request } = waiting;
      const usable = this.#usable(request);
      const gapMs = slotGapMs(usable, nowMs);
      const turnMs = (ahead + 1) * gapMs;
      waiting.obstacle = this.#obstacle(usable, nowMs);
      if (usable.length > 0 && !this.#isTooLate(waiting, turnMs, meanServiceMs(usable, gapMs), nowMs)) {
        ahead += 1;
        continue;
      }
      this.#waiting.unserved(request.id, nowMs);
      if (usable.length === 0) this.#refuse(waiting, 'no-backend', RETRY_WITHOUT_BACKEND_MS);
      else this.#refuse(waiting, 'no-slot-in-time', turnMs, ahead);
    }
  }

  #obstacle(usable: readonly GrantedBackend[], nowMs: number): WaitObstacle {
    if (usable.length === 0) return 'no-backend';
    return usable.some(({ fullUntilMs }) => fullUntilMs > nowMs) ? 'turned-away' : 'no-slot';
  }

  /** Whether a request that gets its slot after `turnMs` and then runs for `serviceMs` ends too late for its client. */
  #isTooLate(
    { request, arrivedMs }: WaitingRequest<PoolRequest>,
    turnMs: number,
    serviceMs: number,
    nowMs: number,
  ): boolean {
    const leftMs = leftOf(request, nowMs - arrivedMs);
    if (this.#options.disabled.has('early-refusal')) return leftMs <= 0;
    return turnMs + serviceMs > leftMs;
  }

  /** @param ahead requests that come before it */
  #refuse(waiting: WaitingRequest<PoolRequest>, reason: RefusalReason, turnMs: number, ahead?: number): void {
    const retryAfterMs =
      reason === 'stopping' ? 0 : Math.min(Math.max(turnMs, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS);
    const { request, arrivedMs } = waiting;
    this.#logDecision('slot.refused', waiting, {
      reason,
      retryAfterMs: Math.round(retryAfterMs),
      turnMs: Math.round(turnMs),
      leftMs: Math.round(leftOf(request, this.#options.clock.now() - arrivedMs)),
      ahead,
    });
    waiting.decide({ kind: 'refused', requestId: waiting.request.id, reason, retryAfterMs });
  }

  #logDecision(
    event: string,
    { request, arrivedMs, obstacle }: WaitingRequest<PoolRequest>,
    fields: Record<string, string | number | undefined>,
  ): void {
    const { clock, telemetry, service } = this.#options;
    const nowMs = clock.now();
    const waitedMs = Math.round(nowMs - arrivedMs - request.ageMs);
    const ageMs = Math.round(nowMs - arrivedMs);
    const { route, priority, isTakeover } = request;
    const described = { pool: service, route, priority, isTakeover, ageMs, waitedMs, obstacle, ...fields };
    telemetry.event('info', event, request.traceId, described);
  }

  #after(delayMs: number, action: () => void): Timer {
    const timer = this.#options.clock.setTimer(delayMs, () => {
      this.#timers.delete(timer);
      if (!this.#isClosed) action();
    });
    this.#timers.add(timer);
    return timer;
  }
}

type GrantCondition = (
  waiting: WaitingRequest<PoolRequest>,
  backend: GrantedBackend,
  nowMs: number,
) => boolean;

/** Whether a request that is granted this backend now is expected to meet its objective. */
function meetsObjective(
  { request, arrivedMs }: WaitingRequest<PoolRequest>,
  backend: GrantedBackend,
  nowMs: number,
): boolean {
  return nowMs - arrivedMs + backend.serviceTime.meanMs(nowMs) <= request.objectiveMs;
}

/** Time in which a request of this age has to be answered, in ms. */
function leftOf({ startWithinMs, timeoutMs }: PoolRequest, ageMs: number): number {
  return Math.min(startWithinMs, timeoutMs) - ageMs;
}
