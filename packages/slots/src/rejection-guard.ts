/** Requests turned away are counted over this time, in which a backend may turn away a limited number. */
const WINDOW_MS = 1000;
/** Share of the limit that the grants of this node use: others may be turned away that it does not know of. */
const USED_SHARE = 0.4;

/**
 * Counts the requests that a backend turned away for want of room. One that fails when it turns away too many
 * gets no more until the oldest of them no longer counts.
 */
export class RejectionGuard {
  /** When requests were turned away within the window, in milliseconds. */
  readonly #rejectedMs: number[] = [];

  record(nowMs: number): void {
    this.#forget(nowMs);
    this.#rejectedMs.push(nowMs);
  }

  /** @param limit requests that the backend may turn away in a second; undefined for any number */
  isExhausted(limit: number | undefined, nowMs: number): boolean {
    if (limit === undefined) return false;
    this.#forget(nowMs);
    return this.#rejectedMs.length >= Math.max(1, Math.floor(limit * USED_SHARE));
  }

  #forget(nowMs: number): void {
    while ((this.#rejectedMs[0] ?? Infinity) <= nowMs - WINDOW_MS) this.#rejectedMs.shift();
  }
}
