/** Time and seeded random numbers. All other packages use these interfaces for both. */
export type { Clock, Timer } from './clock.js';
export { SystemClock } from './system-clock.js';
export { VirtualClock } from './virtual-clock.js';
export { ContinuousClock } from './continuous-clock.js';
export { HostClock } from './host-clock.js';
export { Random, hashSeed } from './random.js';
export { jittered, Backoff, type BackoffOptions } from './backoff.js';
export { Notifier } from './notifier.js';
export { pendingInputHandled } from './pending-input.js';
export { ReadDelay, type ReadDelayTiming } from './read-delay.js';
export { EventLoopTimes } from './event-loop-times.js';
export { SuspendableClock } from './suspendable-clock.js';
