import type { EngineEntry } from './engine-entry.js';

/** If more engines than this part of them failed of late, to avoid them only fills the others: none is avoided. */
const MAX_AVOIDED_SHARE = 0.5;
/** Adapters that one engine is asked to fetch at the same time. */
const MAX_LOADS_PER_ENGINE = 3;

/**
 * Where adapters are, and which engines can load one, at one moment. Built once for many requests that wait,
 * as each would have to look at all slots of all engines. States that change while it is used are read again
 * from the engines by those who use it.
 */
export class PoolIndex {
  readonly #holders = new Map<string, EngineEntry[]>();
  readonly #loading = new Map<string, EngineEntry[]>();
  readonly #loadTargets: EngineEntry[] = [];
  /** When it was built. */
  readonly builtMs: number;
  /** Whether engines that failed are avoided at all. */
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

  /** Whether an engine failed a moment ago while most others did not. */
  isAvoided({ slots }: EngineEntry): boolean {
    return this.#avoidsFailed && slots.avoidUntilMs > this.builtMs;
  }

  /** Engines that had the adapter loaded. */
  holders(key: string): readonly EngineEntry[] {
    return this.#holders.get(key) ?? [];
  }

  /** Engines to which the adapter was on its way. */
  loading(key: string): readonly EngineEntry[] {
    return this.#loading.get(key) ?? [];
  }

  /** Engines that could take one more adapter. */
  get loadTargets(): readonly EngineEntry[] {
    return this.#loadTargets;
  }

  /** Fetches from the weight store under way, on all engines. */
  get fetches(): number {
    return this.#fetches;
  }

  /** Part of all adapter slots that is empty or could be emptied, 0 to 1. */
  get spareShare(): number {
    return this.#slots === 0 ? 0 : this.#spare / this.#slots;
  }

  /** A load was ordered. */
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

/** Adapters that are on their way from the weight store to these engines. */
export function countFetches(entries: Iterable<EngineEntry>): number {
  let count = 0;
  for (const { slots } of entries) {
    for (const slot of slots.slots.values()) if (slot.state === 'loading' && !slot.warm) count += 1;
  }
  return count;
}

/** Whether an engine may be asked for one more adapter beside those on their way. */
export function canLoadMore(entry: EngineEntry): boolean {
  return entry.slots.loadingCount < MAX_LOADS_PER_ENGINE;
}

function append(map: Map<string, EngineEntry[]>, key: string, entry: EngineEntry): void {
  const known = map.get(key);
  if (known === undefined) map.set(key, [entry]);
  else known.push(entry);
}
