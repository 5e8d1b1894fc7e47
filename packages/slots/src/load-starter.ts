import type { Clock } from '@canvasridge/clock';
import { adapterKey } from '@canvasridge/serving';
import { runInBackground, type Telemetry } from '@canvasridge/telemetry';
import type { AdapterPopularity } from './adapter-popularity.js';
import type { AdapterLoader } from './adapter-loader.js';
import type { EngineCosts } from './engine-costs.js';
import type { EngineSelector } from './engine-selector.js';
import type { EngineEntry } from './engine-entry.js';
import type { EngineRegistry } from './engine-registry.js';
import type { HostMemory } from './host-memory.js';
import { placeLoad, type LoadRequest } from './load-placement.js';
import type { DisabledMechanisms } from './mechanisms.js';
import { canLoadMore, type PoolIndex } from './pool-index.js';
import type { SlotRequest } from './slot-request.js';
import type { WaitingList, WaitingRequest, WaitObstacle } from './waiting-list.js';

/** If at least this fraction of all adapter slots is spare, using one takes no slot from other requests. */
export const SPARE_SHARE = 0.25;

/**
 * Why an adapter is loaded on one more engine. `start-sooner`: requests for it would wait too long otherwise.
 * `spare-streams`: a prompt would pause streams of the engines that have it. That never justifies a fetch: the weight store
 * serves the requests that wait for their adapter.
 */
export type LoadPurpose = 'start-sooner' | 'spare-streams';

export interface LoadStarterOptions {
  readonly clock: Clock;
  readonly engines: EngineRegistry;
  readonly selector: EngineSelector;
  readonly adapters: AdapterLoader;
  readonly memory: HostMemory;
  readonly adapterPopularity: AdapterPopularity;
  readonly waiting: WaitingList;
  /** Whether an engine told this node to back off for a while, which includes orders. */
  readonly isBackingOff: (backendId: string) => boolean;
  readonly costs: EngineCosts;
  readonly disabled: DisabledMechanisms;
  readonly telemetry: Pick<Telemetry, 'event'>;
}

/** Orders loads of adapters for waiting requests if an engine can load one and the load is worthwhile. */
export class LoadStarter {
  readonly #options: LoadStarterOptions;

  constructor(options: LoadStarterOptions) {
    this.#options = options;
  }

  /**
   * Orders the load of a request's adapter if possible. Returns what the request waits for now.
   * @param maxCostMs cost of the best engine that has the adapter; a load must cost less than that
   */
  start(waiting: WaitingRequest, index: PoolIndex, maxCostMs: number, purpose: LoadPurpose): WaitObstacle {
    const { engines, adapters, memory, adapterPopularity: popularity, costs, telemetry } = this.#options;
    const { model, adapter } = waiting.request;
    if (adapter === undefined || index.loadTargets.length === 0) return 'no-room';
    const candidates = preferUnlimited(
      index.loadTargets.filter((entry) => this.#isCandidate(entry, waiting.request) && canLoadMore(entry)),
    );
    if (candidates.length === 0) return 'no-room';
    const described = this.#describeLoad(waiting, adapterKey(model, adapter), index, maxCostMs);
    const loadRequest = { ...described, mayFetch: described.mayFetch && purpose === 'start-sooner' };
    const placement = placeLoad(
      candidates.map((entry) => entry.slots),
      loadRequest,
      popularity,
      memory,
      costs,
    );
    const entry = placement === undefined ? undefined : engines.get(placement.slots.backend.id);
    if (placement === undefined || entry === undefined)
      return loadRequest.mayFetch ? 'too-late' : 'fetch-limit';
    entry.slots.lastChosenMs = loadRequest.nowMs;
    index.loadStarted(loadRequest.key, entry, !placement.warm);
    runInBackground(telemetry, 'adapter-load', () => adapters.load(entry, placement, model, adapter));
    return 'loading';
  }

  #describeLoad(waiting: WaitingRequest, key: string, index: PoolIndex, maxCostMs: number): LoadRequest {
    const { clock, adapters, waiting: list, disabled } = this.#options;
    const { request, arrivedMs } = waiting;
    const nowMs = clock.now();
    return {
      request,
      key,
      nowMs,
      ageMs: nowMs - arrivedMs,
      latestStartAgeMs: list.latestStartAgeMs(request),
      maxCostMs,
      hasWarmEngine: this.#hasWarmEngine(request, key),
      mayFetch: index.fetches < adapters.fetchWindow,
      hasSpare: index.spareShare >= SPARE_SHARE,
      coldLoadMs: adapters.coldLoadMs,
      warmLoadMs: adapters.warmLoadMs,
      disabled,
    };
  }

  /**
   * Whether an engine that this node may give orders to likely has the adapter in its host memory. One that still holds an
   * outdated version in use is none: it loads no other version before those requests end.
   */
  #hasWarmEngine(request: SlotRequest, key: string): boolean {
    const { engines, memory, disabled } = this.#options;
    if (disabled.has('adapter-memory')) return false;
    return engines
      .listed()
      .some(
        (entry) =>
          memory.has(entry.slots.backend.id, key) &&
          entry.lease.held &&
          this.#isCandidate(entry, request) &&
          (entry.slots.get(key)?.users ?? 0) === 0,
      );
  }

  #isCandidate(entry: EngineEntry, request: SlotRequest): boolean {
    const { engines, selector } = this.#options;
    const { model, adapter } = request;
    if (adapter === undefined || !engines.mayServe(entry, request)) return false;
    if (this.#options.isBackingOff(entry.slots.backend.id)) return false;
    return entry.slots.models.has(model) && !selector.hasCurrentAdapter(entry, adapterKey(model, adapter));
  }
}

/**
 * Returns the engines without a rate limit, because an adapter is of little use on a rate-limited one. If there are none,
 * returns the rate-limited engines that have room for a request.
 */
function preferUnlimited(eligible: readonly EngineEntry[]): readonly EngineEntry[] {
  const unlimited = eligible.filter(({ rate }) => rate.rule === undefined);
  return unlimited.length > 0 ? unlimited : eligible.filter(({ rate }) => rate.hasRoom);
}
