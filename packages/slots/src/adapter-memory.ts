import { adapterKey, type BackendDescription } from '@canvasridge/serving';
import { LRUCache } from 'lru-cache';

/** Adapters assumed in an engine's host memory, including loaded ones; slightly fewer than engines are known to keep. */
const CAPACITY = 34;

/**
 * Tracks which adapters each engine likely has in its host memory, from which they load about ten times as fast as
 * from the weight store. Engines do not report this. It is inferred from the adapters seen loaded on them, on every
 * node, so that a new leader already knows most of it.
 */
export class AdapterMemory {
  readonly #cached = new Map<string, LRUCache<string, true>>();

  /** Records the loaded adapters in the published list and drops engines that are no longer listed. */
  observe(backends: Iterable<BackendDescription>): void {
    const listed = new Set<string>();
    for (const backend of backends) {
      listed.add(backend.id);
      for (const model of backend.models) {
        for (const { name } of model.adapters) this.record(backend.id, adapterKey(model.name, name));
      }
    }
    for (const id of [...this.#cached.keys()]) if (!listed.has(id)) this.#cached.delete(id);
  }

  /** Records that an adapter was loaded or used on an engine. */
  record(engineId: string, key: string): void {
    let kept = this.#cached.get(engineId);
    if (kept === undefined) {
      kept = new LRUCache({ max: CAPACITY });
      this.#cached.set(engineId, kept);
    }
    kept.set(key, true);
  }

  /** Whether the engine likely has the adapter in its host memory. */
  has(engineId: string, key: string): boolean {
    return this.#cached.get(engineId)?.has(key) ?? false;
  }
}
