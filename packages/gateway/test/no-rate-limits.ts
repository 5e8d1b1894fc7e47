import type { Clock } from '@canvasridge/clock';
import { BackendRateLimits } from '../src/backends/backend-rate-limits.js';

/** For tests in which no backend announces a rate limit. */
export function noRateLimits(clock: Clock): BackendRateLimits {
  return new BackendRateLimits({ clock, admit: () => Promise.resolve({ kind: 'admitted' }) });
}
