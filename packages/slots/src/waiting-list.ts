import type { DisabledMechanisms } from './mechanisms.js';
import { kindOf, ServedShares, type MissingGrants } from './served-shares.js';
import type { PoolRequest, SlotDecision, SlotRequest } from './slot-request.js';

/** Fraction of the objective reserved for the way back of the first event and for unforeseen delays. */
const FIRST_EVENT_MARGIN_SHARE = 0.12;
/** A request has at least this fraction of its objective to be started, even if its prefill takes nearly all of it. */
const MIN_START_SHARE = 0.25;

/** The start deadline is this much later for each priority level below the most urgent one, which is 0. */
const MS_PER_PRIORITY_LEVEL = 60;
/** The start deadline of a retry after a refusal is this much earlier, because a second refusal costs more. */
const RETURNED_BOOST_MS = 150;

/** How tenants share the capacity that becomes free. */
export interface TenantSharing {
  /** Mean time between two starts of waiting requests, in milliseconds. */
  readonly gapMs: () => number;
  /** A tenant's weight relative to others, above 0; its quota if it has one. */
  readonly weightOf: (tenant: string) => number;
}

/** What the kind of a request lacks, as a sort key. */
const Precedence = {
  /** Its least share of what all kinds get. */
  leastShare: 0,
  /** The share that its priority gives it. */
  rank: 1,
  nothing: 2,
} as const;

/** A waiting request with its sort keys. */
interface QueueEntry<R extends PoolRequest> {
  readonly waiting: WaitingRequest<R>;
  /** Whether it is one of the requests that make up for what its kind lacks; the lowest goes first. */
  precedence: (typeof Precedence)[keyof typeof Precedence];
  /** 1 if the request can no longer meet its objective, else 0. */
  readonly late: number;
  startDeadlineMs: number;
}

/** Whether it counts in the shares of its kind and tenant: one that holds a slot already was counted when it was granted that. */
function isCounted({ request }: WaitingRequest<PoolRequest>): boolean {
  return request.isTakeover !== true;
}

function compareEntries(a: QueueEntry<PoolRequest>, b: QueueEntry<PoolRequest>): number {
  return (
    a.precedence - b.precedence ||
    a.late - b.late ||
    a.startDeadlineMs - b.startDeadlineMs ||
    a.waiting.request.priority - b.waiting.request.priority
  );
}

/** A request that waits for a slot. */
export interface WaitingRequest<R extends PoolRequest = SlotRequest> {
  readonly request: R;
  /** Arrival of the client's request on this node's clock. */
  readonly arrivedMs: number;
  /** Whether it is a retry after a refusal. A second refusal would be worse than a late response. */
  readonly returned: boolean;
  readonly decide: (decision: SlotDecision) => void;
  /** Why it got no engine at the last attempt to place it. */
  obstacle: WaitObstacle;
}

/**
 * Why a request waits. `none`: it was not tried yet. `loading`: its adapter is being loaded. `backlog`: the engines that
 * have the adapter have too many prompts queued. `no-room`: no engine can load another adapter. `too-late`: the adapter
 * is not fetched, because that would take too long or another engine has it in host memory. `fetch-limit`: too many
 * other fetches are in progress. `rate-limit`: an engine that could run it has reached its rate limit. `no-engine`: no
 * engine is available for a request to the base model. In a pool of plain backends: `no-slot`: all slots of the backends that it
 * may be sent to are in use; `turned-away`: at least one of them turned away a granted request just now; `no-backend`: there
 * is no such backend.
 */
export type WaitObstacle =
  | 'none'
  | 'rate-limit'
  | 'no-engine'
  | 'loading'
  | 'backlog'
  | 'no-room'
  | 'too-late'
  | 'fetch-limit'
  | 'no-slot'
  | 'turned-away'
  | 'no-backend';

/**
 * The requests that wait for a slot, in order of urgency. Requests that can still meet their objective come before those
 * that cannot, each group in order of start deadline. Priority moves the deadline only a little: with strict priority,
 * long streams of one request kind took all slots while short requests of another kind waited until they were late.
 * Tenants are scheduled fairly, so that one of them cannot crowd out the others. A kind of request that is served far less
 * often than the rest, or less often than less urgent ones, comes first until it has its least share: order by urgency
 * starves none, and priority decides who is served less.
 */
export class WaitingList<R extends PoolRequest = SlotRequest> {
  readonly #byId = new Map<string, WaitingRequest<R>>();
  readonly #expectedServiceMs: (request: R) => number;
  readonly #disabled: DisabledMechanisms;
  readonly #sharing: TenantSharing;
  readonly #shares = new ServedShares();
  /** The virtual clock of each tenant: the time up to which its recent grants count against it. */
  readonly #virtualTimeMs = new Map<string, number>();
  /** By tenant: how far one grant advances its virtual clock. Empty while fewer than two tenants wait. */
  #virtualCostMs: ReadonlyMap<string, number> = new Map();

  /** @param expectedServiceMs estimates how long an idle backend takes until its response meets the objective: the prefill, or all of it */
  constructor(
    expectedServiceMs: (request: R) => number,
    disabled: DisabledMechanisms = new Set(),
    sharing: TenantSharing = { gapMs: () => 0, weightOf: () => 1 },
  ) {
    this.#expectedServiceMs = expectedServiceMs;
    this.#disabled = disabled;
    this.#sharing = sharing;
  }

  get size(): number {
    return this.#byId.size;
  }

  add(waiting: WaitingRequest<R>, nowMs: number): void {
    this.#byId.set(waiting.request.id, waiting);
    if (isCounted(waiting)) this.#shares.recordAsked(waiting.request, nowMs);
  }

  remove(id: string): WaitingRequest<R> | undefined {
    const waiting = this.#byId.get(id);
    this.#byId.delete(id);
    return waiting;
  }

  /** Removes a request that is refused, or whose client left while it waited. */
  unserved(id: string, nowMs: number): void {
    const waiting = this.remove(id);
    if (waiting !== undefined && isCounted(waiting)) this.#shares.recordRefused(waiting.request, nowMs);
  }

  get(id: string): WaitingRequest<R> | undefined {
    return this.#byId.get(id);
  }

  /** See {@link ServedShares.describe}. */
  describeShares(nowMs: number): string {
    return this.#shares.describe(nowMs);
  }

  /** Returns the requests, first those of kinds that lack a share, then by urgency. */
  inOrder(nowMs: number): WaitingRequest<R>[] {
    return this.#sorted(nowMs).map(({ waiting }) => waiting);
  }

  /** Returns the requests that come first since their kinds lack a share, in order. */
  underserved(nowMs: number): WaitingRequest<R>[] {
    return this.#sorted(nowMs)
      .filter(({ precedence }) => precedence !== Precedence.nothing)
      .map(({ waiting }) => waiting);
  }

  #sorted(nowMs: number): QueueEntry<R>[] {
    const entries = [...this.#byId.values()].map((waiting) => ({
      waiting,
      precedence: Precedence.nothing,
      late: this.isLate(waiting, nowMs) ? 1 : 0,
      startDeadlineMs: this.#startDeadlineMs(waiting),
    }));
    entries.sort(compareEntries);
    if (!this.#disabled.has('fair-tenants') && this.#delayByTenant(entries, nowMs))
      entries.sort(compareEntries);
    if (!this.#disabled.has('least-share') && this.#advanceUnderserved(entries, nowMs))
      entries.sort(compareEntries);
    return entries;
  }

  /** Marks, of each kind that lacks a share, as many requests as make up for it; returns whether there are any. */
  #advanceUnderserved(entries: readonly QueueEntry<R>[], nowMs: number): boolean {
    const missing = new Map<string, MissingGrants>();
    let isAny = false;
    for (const entry of entries) {
      if (!isCounted(entry.waiting)) continue;
      const { request } = entry.waiting;
      const kind = kindOf(request);
      const { least, rank } = missing.get(kind) ?? this.#shares.missing(request, nowMs);
      missing.set(kind, { least: least - 1, rank: rank - 1 });
      if (least <= 0 && rank <= 0) continue;
      entry.precedence = least > 0 ? Precedence.leastShare : Precedence.rank;
      isAny = true;
    }
    return isAny;
  }

  /** Removes a request that got an engine and advances the virtual clock of its tenant. */
  granted(id: string, nowMs: number): void {
    const waiting = this.remove(id);
    if (waiting === undefined || !isCounted(waiting)) return;
    this.#shares.recordGranted(waiting.request, nowMs);
    const { tenant } = waiting.request;
    const costMs = tenant === undefined ? undefined : this.#virtualCostMs.get(tenant);
    if (tenant === undefined || costMs === undefined) return;
    this.#virtualTimeMs.set(tenant, Math.max(this.#virtualTimeMs.get(tenant) ?? 0, nowMs) + costMs);
  }

  /**
   * Applies weighted fair queueing by virtual clocks if several tenants wait. The start deadline of each request is
   * delayed by one virtual cost for each recent grant of its tenant and for each of the tenant's requests before it. With
   * few requests waiting, the delays are a few milliseconds; a tenant that floods the list mostly delays itself. Returns
   * whether delays were applied.
   */
  #delayByTenant(entries: QueueEntry<R>[], nowMs: number): boolean {
    this.#virtualCostMs = this.#virtualCosts(entries);
    if (this.#virtualCostMs.size === 0) {
      this.#virtualTimeMs.clear();
      return false;
    }
    const delayByTenantMs = new Map<string, number>();
    for (const entry of entries) {
      const { tenant } = entry.waiting.request;
      if (tenant === undefined) continue;
      const tenantDelayMs =
        delayByTenantMs.get(tenant) ?? Math.max((this.#virtualTimeMs.get(tenant) ?? 0) - nowMs, 0);
      delayByTenantMs.set(tenant, tenantDelayMs + (this.#virtualCostMs.get(tenant) ?? 0));
      entry.startDeadlineMs += tenantDelayMs;
    }
    return true;
  }

  /** The virtual cost of one grant by tenant: the time for one grant to each waiting tenant, divided by relative weight. */
  #virtualCosts(entries: readonly QueueEntry<R>[]): ReadonlyMap<string, number> {
    const weights = new Map<string, number>();
    for (const { waiting } of entries) {
      const { tenant } = waiting.request;
      if (tenant !== undefined && !weights.has(tenant)) weights.set(tenant, this.#sharing.weightOf(tenant));
    }
    if (weights.size < 2) return new Map();
    const total = [...weights.values()].reduce((sum, weight) => sum + weight, 0);
    const gapMs = this.#sharing.gapMs();
    return new Map([...weights].map(([tenant, weight]) => [tenant, (gapMs * total) / weight]));
  }

  /** Age at which a request has to be sent to an idle backend at the latest to meet its objective. */
  latestStartAgeMs(request: R): number {
    const { objectiveMs } = request;
    const idealMs = objectiveMs * (1 - FIRST_EVENT_MARGIN_SHARE) - this.#expectedServiceMs(request);
    return Math.max(idealMs, objectiveMs * MIN_START_SHARE);
  }

  all(): WaitingRequest<R>[] {
    return [...this.#byId.values()];
  }

  /** Whether a request can no longer be started in time to meet its objective. */
  isLate({ request, arrivedMs }: WaitingRequest<R>, nowMs: number): boolean {
    return !this.#disabled.has('late-last') && nowMs - arrivedMs > this.latestStartAgeMs(request);
  }

  /** Time by which a request has to start, shifted by priority and for retries. */
  #startDeadlineMs({ request, arrivedMs, returned }: WaitingRequest<R>): number {
    const boostMs = returned && !this.#disabled.has('returned-first') ? RETURNED_BOOST_MS : 0;
    return arrivedMs + this.latestStartAgeMs(request) + request.priority * MS_PER_PRIORITY_LEVEL - boostMs;
  }
}
