import type { Clock } from '@canvasridge/clock';
import { adapterKey } from '@canvasridge/serving';
import type { AdapterDemand } from './adapter-demand.js';
import type { AdapterLoader } from './adapter-loader.js';
import type { AdapterMemory } from './adapter-memory.js';
import type { EngineChoice } from './engine-choice.js';
import type { EngineEntry } from './engine-entry.js';
import type { EngineRegistry } from './engine-registry.js';
import { chooseLoad, type LoadDemand } from './load-placement.js';
import type { SwitchedOff } from './mechanisms.js';
import { canLoadMore, type PoolIndex } from './pool-index.js';
import type { SlotRequest } from './slot-request.js';
import type { WaitingList, WaitingRequest, WaitObstacle } from './waiting-list.js';

/** Part of all adapter slots from which idle ones count as spare: what they are used for takes none from others. */
export const SPARE_SHARE = 0.25;

export interface LoadStarterOptions {
  readonly clock: Clock;
  readonly engines: EngineRegistry;
  readonly choice: EngineChoice;
  readonly adapters: AdapterLoader;
  readonly memory: AdapterMemory;
  readonly demand: AdapterDemand;
  readonly waiting: WaitingList;
  /** Whether an engine turned this node away and wants nothing from it, orders included, for a while. */
  readonly isBackingOff: (backendId: string) => boolean;
  readonly off: SwitchedOff;
}

/** Orders loads of adapters for requests that wait, where an engine can take one and it is worth it. */
export class LoadStarter {
  readonly #options: LoadStarterOptions;

  constructor(options: LoadStarterOptions) {
    this.#options = options;
  }

  /**
   * Orders the load of a request's adapter, if an engine can take it. Returns what the request waits for now.
   * @param aheadMs the shortest backlog of an engine that has the adapter: a copy must be quicker
   */
  start(waiting: WaitingRequest, index: PoolIndex, aheadMs: number): WaitObstacle {
    const { engines, adapters, memory, demand: popularity } = this.#options;
    const { model, adapter } = waiting.request;
    if (adapter === undefined || index.able.length === 0) return 'no-room';
    const able = preferUnlimited(
      index.able.filter((entry) => this.#isCandidate(entry, waiting.request) && canLoadMore(entry)),
    );
    if (able.length === 0) return 'no-room';
    const demand = this.#demandOf(waiting, adapterKey(model, adapter), index, aheadMs);
    const choice = chooseLoad(
      able.map((entry) => entry.slots),
      demand,
      popularity,
      memory,
    );
    const entry = choice === undefined ? undefined : engines.get(choice.slots.backend.id);
    if (choice === undefined || entry === undefined) return demand.mayFetch ? 'too-late' : 'fetch-limit';
    index.loadStarted(demand.key, entry, !choice.warm);
    void adapters.load(entry, choice, model, adapter);
    return 'loading';
  }

  #demandOf(waiting: WaitingRequest, key: string, index: PoolIndex, aheadMs: number): LoadDemand {
    const { clock, adapters, waiting: list, off } = this.#options;
    const { request, arrivedMs } = waiting;
    const nowMs = clock.now();
    return {
      model: request.model,
      key,
      nowMs,
      ageMs: nowMs - arrivedMs,
      startWithinMs: list.startWithinMs(request),
      quickerThanMs: aheadMs,
      hasHome: this.#hasHome(request, key),
      mayFetch: index.fetches < adapters.fetchWindow,
      hasSpare: index.spareShare >= SPARE_SHARE,
      coldLoadMs: adapters.coldLoadMs,
      warmLoadMs: adapters.warmLoadMs,
      off,
    };
  }

  /** Whether an engine that can be given orders likely has the adapter in its memory. */
  #hasHome(request: SlotRequest, key: string): boolean {
    const { engines, memory, off } = this.#options;
    if (off.has('adapter-memory')) return false;
    return engines
      .listed()
      .some(
        (entry) =>
          memory.has(entry.slots.backend.id, key) && entry.lease.held && this.#isCandidate(entry, request),
      );
  }

  #isCandidate(entry: EngineEntry, request: SlotRequest): boolean {
    const { engines, choice } = this.#options;
    const { model, adapter } = request;
    if (adapter === undefined || !engines.mayServe(entry, request)) return false;
    if (this.#options.isBackingOff(entry.slots.backend.id)) return false;
    return entry.slots.models.has(model) && !choice.holds(entry, adapterKey(model, adapter));
  }
}

/** An adapter on an engine that names a limit is of little use there: such engines come last, and none without room for a request. */
function preferUnlimited(able: readonly EngineEntry[]): readonly EngineEntry[] {
  const unlimited = able.filter(({ rate }) => rate.rule === undefined);
  return unlimited.length > 0 ? unlimited : able.filter(({ rate }) => rate.hasRoom);
}
