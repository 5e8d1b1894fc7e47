import type { Clock } from '@canvasridge/clock';
import { LRUCache } from 'lru-cache';

/** A client comes back within this time, or not at all. */
const RETRY_WITHIN_MS = 6000;
const MAX_REMEMBERED = 4096;

/** How a request was refused before: early enough for a timely answer to its next attempt, or late. */
export type RefusalTiming = 'early' | 'late';

interface Refusal {
  readonly atMs: number;
  readonly timing: RefusalTiming;
}

/** Remembers requests that were refused, to know them when their clients come back. */
export class RefusedRequests {
  readonly #clock: Clock;
  readonly #refusals = new LRUCache<string, Refusal>({ max: MAX_REMEMBERED });

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  note(promptKey: string | undefined, timing: RefusalTiming): void {
    if (promptKey !== undefined) this.#refusals.set(promptKey, { atMs: this.#clock.now(), timing });
  }

  /** How such a request was refused just before, if it was; told once for each refusal. */
  take(promptKey: string | undefined): RefusalTiming | undefined {
    const refusal = promptKey === undefined ? undefined : this.#refusals.get(promptKey);
    if (promptKey === undefined || refusal === undefined) return undefined;
    this.#refusals.delete(promptKey);
    return this.#clock.now() - refusal.atMs < RETRY_WITHIN_MS ? refusal.timing : undefined;
  }
}
