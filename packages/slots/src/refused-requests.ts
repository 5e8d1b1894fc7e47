import type { Clock } from '@canvasridge/clock';
import { LRUCache } from 'lru-cache';

/** A request this long or longer after a refusal does not count as its retry. */
const RETRY_WITHIN_MS = 6000;
const MAX_REMEMBERED = 4096;

/** Whether a refusal came early enough that the retry can still meet the objective. */
export type RefusalTiming = 'early' | 'late';

interface Refusal {
  readonly atMs: number;
  readonly timing: RefusalTiming;
}

/** Remembers recently refused requests in order to recognize their retries. */
export class RefusedRequests {
  readonly #clock: Clock;
  readonly #refusals = new LRUCache<string, Refusal>({ max: MAX_REMEMBERED });

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records a refusal. */
  record(promptKey: string | undefined, timing: RefusalTiming): void {
    if (promptKey !== undefined) this.#refusals.set(promptKey, { atMs: this.#clock.now(), timing });
  }

  /** Returns and removes the recent refusal of a request with this key, if any. */
  take(promptKey: string | undefined): RefusalTiming | undefined {
    const refusal = promptKey === undefined ? undefined : this.#refusals.get(promptKey);
    if (promptKey === undefined || refusal === undefined) return undefined;
    this.#refusals.delete(promptKey);
    return this.#clock.now() - refusal.atMs < RETRY_WITHIN_MS ? refusal.timing : undefined;
  }
}
