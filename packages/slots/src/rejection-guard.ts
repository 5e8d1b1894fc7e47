/**
 * Requests turned away are counted over this time: the second for which backends count them, and the delay with
 * which the leader learns of them.
 */
const WINDOW_MS = 1200;
/** A request that its backend turns away has come back within this time after it was granted. */
const AT_RISK_MS = 200;
/** Share of the limit after which a backend gets a pause: others may be turned away that this node does not know of. */
const PAUSE_SHARE = 0.4;

/**
 * Keeps a backend that fails when it turns away too many requests from having to: those turned away lately and
 * those that may still be, as they were granted just now, stay within its limit together.
 */
export class RejectionGuard {
  /** When requests were turned away, and when requests were granted that may still be, in milliseconds. */
  readonly #rejectedMs: number[] = [];
  readonly #grantedMs: number[] = [];

  recordGrant(nowMs: number): void {
    forgetBefore(this.#grantedMs, nowMs - AT_RISK_MS);
    this.#grantedMs.push(nowMs);
  }

  recordRejection(nowMs: number): void {
    // It is no longer at risk: whichever grant it was, one of them counts less.
    this.#grantedMs.shift();
    forgetBefore(this.#rejectedMs, nowMs - WINDOW_MS);
    this.#rejectedMs.push(nowMs);
  }

  /** @param limit requests that the backend may turn away in a second; undefined for any number */
  isExhausted(limit: number | undefined, nowMs: number): boolean {
    if (limit === undefined) return false;
    forgetBefore(this.#rejectedMs, nowMs - WINDOW_MS);
    forgetBefore(this.#grantedMs, nowMs - AT_RISK_MS);
    const rejected = this.#rejectedMs.length;
    if (rejected >= Math.max(1, Math.floor(limit * PAUSE_SHARE))) return true;
    return rejected + this.#grantedMs.length >= Math.max(1, limit);
  }
}

/** Removes the times up to `beforeMs` from a list in ascending order. */
function forgetBefore(timesMs: number[], beforeMs: number): void {
  while ((timesMs[0] ?? Infinity) <= beforeMs) timesMs.shift();
}
