import type { HttpRoute } from '@canvasridge/serving';
import type { SilenceLimit } from './backend-attempt.js';

/** An attempt of a repeatable request is tried elsewhere after this many objectives without a sign. */
const SILENT_OBJECTIVES = 2;
const LEAST_SILENCE_MS = 250;
const MOST_SILENCE_MS = 1300;
/** What is added while the backend answers other requests. */
const BUSY_SILENCE_MS = 1000;

/** @param backendHeardMs when this node last received anything from the backend */
export function silenceLimit({ objectiveMs }: HttpRoute, backendHeardMs: () => number): SilenceLimit {
  const wantedMs = Math.max(objectiveMs * SILENT_OBJECTIVES, LEAST_SILENCE_MS);
  const firstMs = Math.min(wantedMs, MOST_SILENCE_MS);
  return { firstMs, mostMs: Math.max(wantedMs, firstMs) + BUSY_SILENCE_MS, backendHeardMs };
}
