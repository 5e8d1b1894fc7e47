/**
 * Maximum number of requests in memory, some 100 bytes each. A request that is served all the time stays in
 * it: one that is not is rarely running on several backends when they crash.
 */
const MAX_REQUESTS = 2048;

/** Remembers when the last completed run of each recent request was sent, by the request's fingerprint. */
export class CompletedRuns {
  /** In the order of the last completion, oldest first; times in milliseconds. */
  readonly #sentMs = new Map<string, number>();

  record(fingerprint: string, sentMs: number): void {
    const lastMs = Math.max(sentMs, this.lastSentMs(fingerprint) ?? -Infinity);
    this.#sentMs.delete(fingerprint);
    this.#sentMs.set(fingerprint, lastMs);
    const oldest = this.#sentMs.keys().next();
    if (this.#sentMs.size > MAX_REQUESTS && oldest.done !== true) this.#sentMs.delete(oldest.value);
  }

  /** When the last completed run of the request was sent; undefined if none is known. */
  lastSentMs(fingerprint: string): number | undefined {
    return this.#sentMs.get(fingerprint);
  }
}
