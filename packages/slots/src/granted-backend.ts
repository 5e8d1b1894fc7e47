import type { BackendDescription } from '@canvasridge/serving';
import { RecentFailures } from './recent-failures.js';
import { ServiceTime } from './service-time.js';

/** What the leader of a pool of plain backends knows of one of them. */
export class GrantedBackend {
  description: BackendDescription;
  readonly serviceTime: ServiceTime;
  readonly failures = new RecentFailures();
  /** Number of its granted requests that have not ended. */
  running = 0;
  /** Until when it counts as full, since it turned away a granted request. */
  fullUntilMs = -Infinity;

  constructor(description: BackendDescription, nowMs: number, pool: ServiceTime) {
    this.description = description;
    this.serviceTime = new ServiceTime(nowMs, pool);
  }

  hasFreeSlot(nowMs: number): boolean {
    return this.running < this.description.slots && nowMs >= this.fullUntilMs;
  }
}
