import type { EngineEntry } from './engine-entry.js';

/** If more than this fraction of the engines failed recently, none is avoided, since that would only overload the others. */
const MAX_AVOIDED_SHARE = 0.5;
/** Maximum number of adapters that one engine loads at the same time. */
const MAX_LOADS_PER_ENGINE = 3;

/**
 * A snapshot of where adapters are and which engines can load one. It is built once for many waiting requests, because
 * otherwise each would have to read all slots of all engines. Users must re-read from the engines any state that may
 * have changed since.
 */
export class PoolIndex {
  readonly #holders = new Map<string, EngineEntry[]>();
  readonly #loading = new Map<string, EngineEntry[]>();
  readonly #loadTargets: EngineEntry[] = [];
  /** When the index was built. */
  readonly builtMs: number;
  /** Whether engines that failed recently are avoided. */
  readonly #avoidsFailed: boolean;
  #fetches = 0;
  #slots = 0;
  #spare = 0;

  constructor(entries: Iterable<EngineEntry>, nowMs: number) {
    this.builtMs = nowMs;
    const all = [...entries];
    const avoided = all.filter(({ slots }) => slots.avoidUntilMs > nowMs).length;
    this.#avoidsFailed = avoided <= all.length * MAX_AVOIDED_SHARE;
    for (const entry of all) this.#addEngine(entry, nowMs);
  }

  /** Whether an engine failed recently while most others did not. */
  isAvoided({ slots }: EngineEntry): boolean {
    return this.#avoidsFailed && slots.avoidUntilMs > this.builtMs;
  }

  /** Engines that had the adapter loaded when the index was built. */
  holders(key: string): readonly EngineEntry[] {
    return this.#holders.get(key) ?? [];
  }

  /** Engines that were loading the adapter. */
  loading(key: string): readonly EngineEntry[] {
    return this.#loading.get(key) ?? [];
  }

  /** Engines that could load one more adapter. */
  get loadTargets(): readonly EngineEntry[] {
    return this.#loadTargets;
  }

  /** Fetches from the weight store in progress, on all engines. */
  get fetches(): number {
    return this.#fetches;
  }

  /** Fraction of all adapter slots that are empty or evictable, 0 to 1. */
  get spareShare(): number {
    return this.#slots === 0 ? 0 : this.#spare / this.#slots;
  }

  /** Records that a load was ordered after the index was built. */
  loadStarted(key: string, entry: EngineEntry, isFetch: boolean): void {
    append(this.#loading, key, entry);
    if (isFetch) this.#fetches += 1;
  }

  #addEngine(entry: EngineEntry, nowMs: number): void {
    const { slots, lease } = entry;
    let canTake = slots.slots.size < slots.profile.adapterSlots;
    for (const slot of slots.slots.values()) {
      if (slot.state === 'loaded') append(this.#holders, slot.key, entry);
      else if (slot.state === 'loading') append(this.#loading, slot.key, entry);
      if (slot.state === 'loading' && !slot.warm) this.#fetches += 1;
      if (!slots.isEvictable(slot, nowMs)) continue;
      canTake = true;
      this.#spare += 1;
    }
    this.#slots += slots.profile.adapterSlots;
    this.#spare += Math.max(slots.profile.adapterSlots - slots.slots.size, 0);
    const isFree = lease.held && !this.isAvoided(entry);
    if (canTake && isFree && canLoadMore(entry)) this.#loadTargets.push(entry);
  }
}

/** Counts the adapters that these engines are fetching from the weight store. */
export function countFetches(entries: Iterable<EngineEntry>): number {
  let count = 0;
  for (const { slots } of entries) {
    for (const slot of slots.slots.values()) if (slot.state === 'loading' && !slot.warm) count += 1;
  }
  return count;
}

/** Whether an engine may be ordered to load one more adapter beside those it is loading. */
export function canLoadMore(entry: EngineEntry): boolean {
  return entry.slots.loadingCount < MAX_LOADS_PER_ENGINE;
}

function append(map: Map<string, EngineEntry[]>, key: string, entry: EngineEntry): void {
  const known = map.get(key);
  if (known === undefined) map.set(key, [entry]);
  else known.push(entry);
}
