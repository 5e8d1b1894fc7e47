import type { HttpRoute } from '@canvasridge/serving';
import type { InactivityLimit } from './backend-attempt.js';

/**
 * An attempt of a repeatable request that receives nothing for this many latency objectives is retried on
 * another backend.
 */
const OBJECTIVES_PER_LIMIT = 2;
const MIN_LIMIT_MS = 250;
/** Cap on the limit for a backend that answers no other request of this node either. */
const MAX_IDLE_BACKEND_MS = 1300;
/** Added to the limit while the backend answers other requests. */
const BUSY_EXTRA_MS = 1000;

/** @param backendLastReceivedMs returns when this node last received data from the backend */
export function inactivityLimit(
  { objectiveMs }: HttpRoute,
  backendLastReceivedMs: () => number,
): InactivityLimit {
  const wantedMs = Math.max(objectiveMs * OBJECTIVES_PER_LIMIT, MIN_LIMIT_MS);
  const idleBackendMs = Math.min(wantedMs, MAX_IDLE_BACKEND_MS);
  return {
    idleBackendMs,
    busyBackendMs: Math.max(wantedMs, idleBackendMs) + BUSY_EXTRA_MS,
    backendLastReceivedMs,
  };
}
