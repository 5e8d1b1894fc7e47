import type { AnswerCheck } from './answer-check.js';
import type { EngineRate } from './engine-rate.js';
import type { EngineSlots } from './engine-slots.js';
import type { OrderLease } from './order-lease.js';
import type { RejectionGuard } from './rejection-guard.js';

/** An engine of a pool: its believed state, the right to give it orders, its rate limit, and whether it answers. */
export interface EngineEntry {
  readonly slots: EngineSlots;
  readonly lease: OrderLease;
  readonly rate: EngineRate;
  readonly rejections: Pick<RejectionGuard, 'recordGrant' | 'recordRejection' | 'isExhausted'>;
  readonly answerCheck: Pick<AnswerCheck, 'isAnswering' | 'lastAnsweredMs' | 'requestFailed' | 'answered'>;
  /** When it left the published list; undefined while it is listed. An unlisted engine gets no requests. */
  unlistedSinceMs: number | undefined;
}
