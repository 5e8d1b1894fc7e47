import type { BackendDescription } from '@canvasridge/serving';
import { RecentFailures } from './recent-failures.js';
import { RejectionGuard } from './rejection-guard.js';
import { ServiceTime } from './service-time.js';

/**
 * Requests granted to a backend beyond its slots. One waits in the queue of the backend itself when a slot becomes free,
 * which would else idle while the news of it travels to the leader and the next request to the backend.
 */
const BEYOND_SLOTS = 1;
/** A backend that turned away a request beyond its slots, as its own queue is full or it has none, gets no other for this long. */
const NO_QUEUE_MS = 2000;

/** What the leader of a pool of plain backends knows of one of them. */
export class GrantedBackend {
  description: BackendDescription;
  readonly serviceTime: ServiceTime;
  readonly failures = new RecentFailures();
  readonly #rejections = new RejectionGuard();
  readonly #rejectionLimit: () => number | undefined;
  /** Number of its granted requests that have not ended. */
  running = 0;
  /** Until when it counts as full, since it turned away a granted request. */
  fullUntilMs = -Infinity;
  #noQueueUntilMs = -Infinity;

  /** @param rejectionLimit requests that it may turn away in a second; undefined for any number */
  constructor(
    description: BackendDescription,
    nowMs: number,
    pool: ServiceTime,
    rejectionLimit: () => number | undefined = () => undefined,
  ) {
    this.#rejectionLimit = rejectionLimit;
    this.description = description;
    this.serviceTime = new ServiceTime(nowMs, pool);
  }

  hasFreeSlot(nowMs: number): boolean {
    if (this.#rejections.isExhausted(this.#rejectionLimit(), nowMs)) return false;
    return this.running < this.description.slots && nowMs >= this.fullUntilMs;
  }

  /** Whether it may be sent a request that it starts at once or, unless it is slow, has to queue. */
  mayQueue(nowMs: number): boolean {
    if (this.hasFreeSlot(nowMs)) return true;
    // Its queue may be shorter than usual, and what it turns away counts against it.
    if (this.#rejectionLimit() !== undefined) return false;
    if (nowMs < Math.max(this.fullUntilMs, this.#noQueueUntilMs)) return false;
    if (this.serviceTime.isSlow(nowMs)) return false;
    return this.running < this.description.slots + BEYOND_SLOTS;
  }

  recordGrant(nowMs: number): void {
    this.#rejections.recordGrant(nowMs);
  }

  /** Records that it turned away a granted request; called before the request is taken off its count. */
  recordTurnedAway(nowMs: number): void {
    this.#rejections.recordRejection(nowMs);
    if (this.running > this.description.slots) this.#noQueueUntilMs = nowMs + NO_QUEUE_MS;
  }
}
