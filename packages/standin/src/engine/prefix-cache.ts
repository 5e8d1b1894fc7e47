import { LRUCache } from 'lru-cache';
import type { Random } from '@canvasridge/clock';

/** A change of the prefix cache, as engines publish them. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'removed' | 'cleared';
  readonly block: number;
  readonly atMs: number;
}

const EVENT_HISTORY = 2048;

/** Least-recently-used cache of prompt blocks, with its feed of events. */
export class PrefixCache {
  readonly #blocks: LRUCache<number, true> | undefined;
  readonly #events: CacheEvent[] = [];
  readonly #random: Random;
  readonly #lossShare: () => number;
  #sequence = 0;

  constructor(capacity: number, random: Random, lossShare: () => number) {
    this.#random = random;
    this.#lossShare = lossShare;
    this.#blocks =
      capacity === 0
        ? undefined
        : new LRUCache({ max: capacity, dispose: (_value, block) => this.#publish('removed', block) });
  }

  /** Number of leading blocks already held. */
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

  /** Blocks held now, for a KV export. */
  held(): number[] {
    return this.#blocks === undefined ? [] : [...this.#blocks.keys()];
  }

  /** Events after `sequence` that are older than the lag. Lost ones show as gaps in the numbers. */
  eventsAfter(sequence: number, latestMs: number): readonly CacheEvent[] {
    return this.#events.filter((event) => event.sequence > sequence && event.atMs <= latestMs);
  }

  #publish(kind: CacheEvent['kind'], block: number, atMs = 0): void {
    this.#sequence += 1;
    if (this.#random.next() < this.#lossShare()) return;
    const last = this.#events.at(-1);
    this.#events.push({ sequence: this.#sequence, kind, block, atMs: Math.max(atMs, last?.atMs ?? 0) });
    if (this.#events.length > EVENT_HISTORY) this.#events.splice(0, EVENT_HISTORY / 2);
  }
}
