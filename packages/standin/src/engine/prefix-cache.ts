import { LRUCache } from 'lru-cache';
import type { Random } from '@canvasridge/clock';

/** A change of the prefix cache, as an engine publishes it. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'removed' | 'cleared';
  readonly block: number;
  readonly atMs: number;
}

const MAX_KEPT_EVENTS = 2048;

/** LRU cache of prompt blocks that publishes its changes as numbered events. */
export class PrefixCache {
  readonly #blocks: LRUCache<number, true> | undefined;
  readonly #events: CacheEvent[] = [];
  readonly #random: Random;
  readonly #eventLossFraction: () => number;
  #sequence = 0;

  constructor(capacity: number, random: Random, eventLossFraction: () => number) {
    this.#random = random;
    this.#eventLossFraction = eventLossFraction;
    this.#blocks =
      capacity === 0
        ? undefined
        : new LRUCache({ max: capacity, dispose: (_value, block) => this.#publish('removed', block) });
  }

  /** Number of leading blocks that are cached. */
  countHits(blocks: readonly number[]): number {
    let hits = 0;
    while (hits < blocks.length && this.#blocks?.get(blocks[hits] ?? 0) === true) hits += 1;
    return hits;
  }

  store(blocks: readonly number[], nowMs: number): void {
    for (const block of blocks) {
      if (this.#blocks === undefined || this.#blocks.has(block)) continue;
      this.#blocks.set(block, true);
      this.#publish('stored', block, nowMs);
    }
  }

  /** Hashes of all cached blocks, for a KV export. */
  cachedBlocks(): number[] {
    return this.#blocks === undefined ? [] : [...this.#blocks.keys()];
  }

  /**
   * Events after `sequence` that happened up to `latestMs`. Lost events show as gaps in the sequence numbers.
   */
  eventsAfter(sequence: number, latestMs: number): readonly CacheEvent[] {
    return this.#events.filter((event) => event.sequence > sequence && event.atMs <= latestMs);
  }

  #publish(kind: CacheEvent['kind'], block: number, atMs = 0): void {
    this.#sequence += 1;
    if (this.#random.next() < this.#eventLossFraction()) return;
    const last = this.#events.at(-1);
    this.#events.push({ sequence: this.#sequence, kind, block, atMs: Math.max(atMs, last?.atMs ?? 0) });
    if (this.#events.length > MAX_KEPT_EVENTS) this.#events.splice(0, MAX_KEPT_EVENTS / 2);
  }
}
