import type { Clock } from '@canvasridge/clock';
import { BackendRateLimits } from '../src/backends/backend-rate-limits.js';

/** Of backends that name no limit. */
export function noRateLimits(clock: Clock): BackendRateLimits {
  return new BackendRateLimits({ clock, admit: () => Promise.resolve({ kind: 'admitted' }) });
}
