import type { SwitchedOff } from './mechanisms.js';
import type { SlotDecision, SlotRequest } from './slot-request.js';

/** Part of the objective that is kept for the way of the first event, and for what is not foreseen. */
const FIRST_EVENT_MARGIN_SHARE = 0.12;
/** A request whose prompt takes nearly its whole objective to be read still has this part of it to be started. */
const MIN_START_SHARE = 0.25;

/** A request of one priority lower may start this much later than others that arrived with it. */
const MS_PER_PRIORITY_LEVEL = 60;
/** One that comes back after a refusal goes this much before others: a second refusal costs more. */
const RETURNED_BOOST_MS = 150;

/** How tenants share what becomes free. */
export interface TenantSharing {
  /** Mean time between two moments at which one that waits can start, in milliseconds. */
  readonly gapMs: () => number;
  /** A tenant's part beside others, above 0: what it may use by its quota, where it has one. */
  readonly weightOf: (tenant: string) => number;
}

/** A request that waits, with what its turn goes by. */
interface QueueEntry {
  readonly waiting: WaitingRequest;
  readonly late: number;
  startDeadlineMs: number;
}

function compareEntries(a: QueueEntry, b: QueueEntry): number {
  return (
    a.late - b.late ||
    a.startDeadlineMs - b.startDeadlineMs ||
    a.waiting.request.priority - b.waiting.request.priority
  );
}

/** A request that waits for a slot. */
export interface WaitingRequest {
  readonly request: SlotRequest;
  /** Arrival of the client's request on this node's clock. */
  readonly arrivedMs: number;
  /** It was refused before; a second refusal would be worse than a late answer. */
  readonly returned: boolean;
  readonly decide: (decision: SlotDecision) => void;
  /** Why it was not given an engine when it was last looked at. */
  obstacle: WaitObstacle;
}

/**
 * What a request waits for: `loading`: its adapter, which is on its way; `backlog`: an engine that has it and is
 * behind; `no-room`: a slot, as no engine can take another adapter; `too-late`: an adapter that is not fetched,
 * since that would take too long or another engine has it in memory; `fetch-limit`: other fetches to end; `rate-limit`: an
 * engine that has it and takes no more at present.
 */
export type WaitObstacle =
  'none' | 'rate-limit' | 'no-engine' | 'loading' | 'backlog' | 'no-room' | 'too-late' | 'fetch-limit';

/**
 * Requests that wait, most urgent first: those that can still meet their objective before those that cannot,
 * each by the moment until which it has to start. Priority shifts that moment only a little: with strict
 * priority the long streams of one kind took all slots, and a kind of short ones waited until it was late. Tenants take
 * turns where one of them would fill the list.
 */
export class WaitingList {
  readonly #byId = new Map<string, WaitingRequest>();
  readonly #prefillMs: (tokens: number) => number;
  readonly #disabled: SwitchedOff;
  readonly #sharing: TenantSharing;
  /** By tenant: until when the turns that it had of late last. */
  readonly #virtualTimeMs = new Map<string, number>();
  /** Time for which one turn of a tenant counts, by tenant; empty while fewer than two wait. */
  #virtualCostMs: ReadonlyMap<string, number> = new Map();

  /**
   * @param readMs how long a prompt of a length takes to be read
   * @param sharing how tenants share what becomes free
   */
  constructor(
    readMs: (tokens: number) => number,
    disabled: SwitchedOff = new Set(),
    sharing: TenantSharing = { gapMs: () => 0, weightOf: () => 1 },
  ) {
    this.#prefillMs = readMs;
    this.#disabled = disabled;
    this.#sharing = sharing;
  }

  get size(): number {
    return this.#byId.size;
  }

  add(waiting: WaitingRequest): void {
    this.#byId.set(waiting.request.id, waiting);
  }

  remove(id: string): WaitingRequest | undefined {
    const waiting = this.#byId.get(id);
    this.#byId.delete(id);
    return waiting;
  }

  get(id: string): WaitingRequest | undefined {
    return this.#byId.get(id);
  }

  inOrder(nowMs: number): WaitingRequest[] {
    const entries = [...this.#byId.values()].map((waiting) => ({
      waiting,
      late: this.#isLate(waiting, nowMs) ? 1 : 0,
      startDeadlineMs: this.#startDeadlineMs(waiting),
    }));
    entries.sort(compareEntries);
    if (!this.#disabled.has('fair-tenants') && this.#delayByTenant(entries, nowMs))
      entries.sort(compareEntries);
    return entries.map(({ waiting }) => waiting);
  }

  /** A request is given an engine: its tenant has had its turn. */
  granted(id: string, nowMs: number): void {
    const waiting = this.remove(id);
    const tenant = waiting?.request.tenant;
    const turnMs = tenant === undefined ? undefined : this.#virtualCostMs.get(tenant);
    if (tenant === undefined || turnMs === undefined) return;
    this.#virtualTimeMs.set(tenant, Math.max(this.#virtualTimeMs.get(tenant) ?? 0, nowMs) + turnMs);
  }

  /**
   * Puts tenants in turn where several wait, by a virtual clock each: a request goes as if the ones of its tenant that were
   * granted of late, and those before it here, had each waited for one of every tenant. With few waiting this moves nothing
   * by more than some ms; a tenant that fills the list waits behind itself. Returns whether anything was moved.
   */
  #delayByTenant(entries: QueueEntry[], nowMs: number): boolean {
    this.#virtualCostMs = this.#virtualCosts(entries);
    if (this.#virtualCostMs.size === 0) {
      this.#virtualTimeMs.clear();
      return false;
    }
    const delayByTenantMs = new Map<string, number>();
    for (const entry of entries) {
      const { tenant } = entry.waiting.request;
      if (tenant === undefined) continue;
      const aheadMs =
        delayByTenantMs.get(tenant) ?? Math.max((this.#virtualTimeMs.get(tenant) ?? 0) - nowMs, 0);
      delayByTenantMs.set(tenant, aheadMs + (this.#virtualCostMs.get(tenant) ?? 0));
      entry.startDeadlineMs += aheadMs;
    }
    return true;
  }

  /** A turn counts for the time in which all that wait have theirs, a tenant of twice the weight twice. */
  #virtualCosts(entries: readonly QueueEntry[]): ReadonlyMap<string, number> {
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

  /** Age at which a request has to be sent to an engine that is free, to meet its objective. */
  latestStartAgeMs({ objectiveMs, promptTokens }: SlotRequest): number {
    const idealMs = objectiveMs * (1 - FIRST_EVENT_MARGIN_SHARE) - this.#prefillMs(promptTokens);
    return Math.max(idealMs, objectiveMs * MIN_START_SHARE);
  }

  all(): WaitingRequest[] {
    return [...this.#byId.values()];
  }

  #isLate({ request, arrivedMs }: WaitingRequest, nowMs: number): boolean {
    return !this.#disabled.has('late-last') && nowMs - arrivedMs > this.latestStartAgeMs(request);
  }

  /** Moment until which a request has to start, moved by its urgency. */
  #startDeadlineMs({ request, arrivedMs, returned }: WaitingRequest): number {
    const boostMs = returned && !this.#disabled.has('returned-first') ? RETURNED_BOOST_MS : 0;
    return arrivedMs + this.latestStartAgeMs(request) + request.priority * MS_PER_PRIORITY_LEVEL - boostMs;
  }
}
