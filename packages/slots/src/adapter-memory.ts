import { adapterKey, type BackendDescription } from '@canvasridge/serving';
import { LRUCache } from 'lru-cache';

/** Adapters that an engine keeps in its host memory, the loaded ones included: a little less than engines are known to keep. */
const CAPACITY = 34;

/**
 * Which adapters each engine likely has in its host memory, from where they load about ten times as fast as
 * from the weight store. Engines do not tell; it is concluded from what was seen loaded on them, on every
 * node, so that a new leader knows most of it.
 */
export class AdapterMemory {
  readonly #cached = new Map<string, LRUCache<string, true>>();

  /** Notes what the published list shows, and forgets engines that are gone. */
  observe(backends: Iterable<BackendDescription>): void {
    const listed = new Set<string>();
    for (const backend of backends) {
      listed.add(backend.id);
      for (const model of backend.models) {
        for (const { name } of model.adapters) this.note(backend.id, adapterKey(model.name, name));
      }
    }
    for (const id of [...this.#cached.keys()]) if (!listed.has(id)) this.#cached.delete(id);
  }

  /** An adapter is loaded or used on an engine. */
  note(engineId: string, key: string): void {
    let kept = this.#cached.get(engineId);
    if (kept === undefined) {
      kept = new LRUCache({ max: CAPACITY });
      this.#cached.set(engineId, kept);
    }
    kept.set(key, true);
  }

  has(engineId: string, key: string): boolean {
    return this.#cached.get(engineId)?.has(key) ?? false;
  }
}
