/** Part of a Retry-After by which it is lengthened at most. */
const MAX_SPREAD_SHARE = 0.5;
/** Longest time that this adds, in milliseconds: enough to spread the clients of a few seconds. */
const MAX_SPREAD_MS = 2000;

/**
 * Lengthens a Retry-After by a random time, so that clients that were refused together don't all return together.
 * @param random from 0 to 1
 */
export function spreadRetryMs(retryAfterMs: number, random: number): number {
  return retryAfterMs + random * Math.min(retryAfterMs * MAX_SPREAD_SHARE, MAX_SPREAD_MS);
}
