import { adapterKey, type BackendDescription } from '@canvasridge/serving';
import { LRUCache } from 'lru-cache';

/** Maximum number of adapters tracked per engine, including loaded ones. */
export const MAX_TRACKED = 160;

/** The adapters of one engine, most recently used first. */
class EngineAdapters {
  readonly #recent = new LRUCache<string, true>({ max: MAX_TRACKED });
  /** Position of each adapter in that order; undefined after a change. */
  #depths: Map<string, number> | undefined;

  record(key: string): void {
    this.#recent.set(key, true);
    this.#depths = undefined;
  }

  depthOf(key: string): number | undefined {
    if (!this.#recent.has(key)) return undefined;
    this.#depths ??= new Map([...this.#recent.keys()].map((recent, depth) => [recent, depth]));
    return this.#depths.get(key);
  }
}

/**
 * Tracks in which order adapters were last used on each engine. Engines keep the recent ones in their host memory, from
 * which they load about ten times as fast as from the weight store. Engines do not report this. It is inferred from the
 * adapters seen loaded on them, on every node, so that a new leader already knows most of it.
 */
export class AdapterMemory {
  readonly #engines = new Map<string, EngineAdapters>();

  /** Records the loaded adapters in the published list and drops engines that are no longer listed. */
  observe(backends: Iterable<BackendDescription>): void {
    const listed = new Set<string>();
    for (const backend of backends) {
      listed.add(backend.id);
      for (const model of backend.models) {
        for (const { name } of model.adapters) this.record(backend.id, adapterKey(model.name, name));
      }
    }
    for (const id of [...this.#engines.keys()]) if (!listed.has(id)) this.#engines.delete(id);
  }

  /** Records that an adapter was loaded or used on an engine. */
  record(engineId: string, key: string): void {
    let adapters = this.#engines.get(engineId);
    if (adapters === undefined) {
      adapters = new EngineAdapters();
      this.#engines.set(engineId, adapters);
    }
    adapters.record(key);
  }

  /** Number of adapters that were used on the engine since this one; undefined if it was not seen there. */
  depthOf(engineId: string, key: string): number | undefined {
    return this.#engines.get(engineId)?.depthOf(key);
  }
}
