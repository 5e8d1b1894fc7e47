/**
 * Subtracted from the deadline that is passed to the backend, to leave time for sending the response to the
 * client.
 */
const RESPONSE_MARGIN_MS = 10;
/** How long a backend may work on a request after its client has given up. */
const MAX_UNWANTED_WORK_MS = 500;

/**
 * Time that a backend may work on a request, in whole milliseconds, at least 1. A request that may have lain unread has
 * less than what is left by its age, but it may also have come just before it was read: so the backend gets at least the
 * time for which it may work for a client that has left.
 * @param leftMs time until the request's deadline, as its age counts from its reading
 * @param unreadMs how long it may have lain unread before, at most
 */
export function backendDeadlineMs(leftMs: number, unreadMs: number): number {
  const toldAtMostMs = leftMs - RESPONSE_MARGIN_MS;
  const toldMs = Math.max(toldAtMostMs - unreadMs, Math.min(toldAtMostMs, MAX_UNWANTED_WORK_MS));
  return Math.max(1, Math.floor(toldMs));
}
