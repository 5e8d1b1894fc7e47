import type { Clock } from '@canvasridge/clock';
import type { LimitedEvents, Telemetry } from '@canvasridge/telemetry';
import type { BackendAvailability } from '../backends/backend-availability.js';
import type { BackendPaths } from '../paths/backend-paths.js';
import type { BackendResponsiveness } from '../paths/backend-responsiveness.js';
import type { FleetPaths } from '../paths/fleet-paths.js';
import type { BackendNotices } from '../backends/backend-notices.js';
import type { BackendPicker } from '../backends/picker.js';
import type { RetryBudget } from '../backends/retry-budget.js';
import type { GatewayMetrics } from '../gateway-metrics.js';
import type { BackendHops } from './backend-hops.js';
import type { RequestDialect } from './dialect.js';
import type { PendingBodies } from './pending-bodies.js';
import type { ReadTurns } from './read-turns.js';
import type { AdmissionContext } from './request-admission.js';
import type { ResponseMemoryBudget } from './response-memory-budget.js';
import type { UnableCause } from './serving-outage.js';
import type { QuarantineContext } from './request-quarantine.js';
import type { StreamBindingContext } from './stream-binding.js';
import type { WriteCheckContext } from './write-check.js';

/** What all exchanges of a node share. */
export interface ExchangeContext
  extends AdmissionContext, QuarantineContext, StreamBindingContext, WriteCheckContext {
  readonly clock: Clock;
  readonly dialect: RequestDialect;
  readonly hops: Pick<BackendHops, 'open' | 'openForTakeover'>;
  readonly paths: Pick<BackendPaths, 'state' | 'isOwnFailure'>;
  readonly fleetPaths: Pick<FleetPaths, 'isCutOff'>;
  readonly responsiveness: Pick<BackendResponsiveness, 'answers' | 'anyAnswersBut'>;
  readonly notices: BackendNotices;
  readonly availability: BackendAvailability;
  /** For services of interchangeable backends. */
  readonly plainPicker: BackendPicker;
  /** For services of model engines. */
  readonly enginePicker: BackendPicker;
  readonly budget: (service: string) => RetryBudget;
  readonly isStopping: () => boolean;
  /**
   * Time until this node ends the requests that are still running, in milliseconds; Infinity unless it is
   * stopping.
   */
  readonly stopsInMs: () => number;
  readonly nextId: () => string;
  readonly random: () => number;
  /** Age of the backend list in milliseconds. */
  readonly listAgeMs: () => number;
  /** Refreshes the backend list if it is so old that a backend may have left unnoticed for too long. */
  readonly refreshIfOld: () => Promise<void>;
  /** Retry-After of requests that this node can not serve for want of the published state, in milliseconds. */
  readonly outageRetryMs: (cause: UnableCause, callerLeftMs: number) => number;
  /** Event loop lag: how late the process runs its timers, in milliseconds. */
  readonly lagMs: () => number;
  /** How long input that is handled now may have lain unread because the process was held up, in milliseconds. */
  readonly unreadMs: () => number;
  readonly bodies: PendingBodies;
  readonly readTurns: ReadTurns;
  /** For what clients can cause by bodies that they don't end. */
  readonly bodyEvents: Pick<LimitedEvents, 'event'>;
  readonly responseMemory: ResponseMemoryBudget;
  readonly telemetry: Telemetry;
  readonly metrics: GatewayMetrics;
}
