/** Logs, metrics and timeline events of a process. */
export {
  EventLogger,
  formatFields,
  type LineCategory,
  type LogFields,
  type LogLevel,
} from './event-logger.js';
export { StatsdMetrics, NullMetrics, type Metrics, type MetricName, METRICS } from './metrics.js';
export { keepRunning, runInBackground, runLogged } from './background.js';
export { MemoryWatch, measureMemory, type MemoryUse } from './memory-watch.js';
export { surviveClosedStreams } from './standard-streams.js';
export { logStartFailure, type StartFailure } from './start-failure.js';
export { LimitedEvents } from './limited-events.js';
export { ProcessFailure } from './process-failure.js';
export { errorFields } from './error-fields.js';
export { EventRing, type TimelineEvent, type TimelineDump } from './event-ring.js';
export { Telemetry } from './telemetry.js';
export { LineSink, DEFAULT_LINE_SINK_LIMITS, type LineSinkLimits } from './line-sink.js';
