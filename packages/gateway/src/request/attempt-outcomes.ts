import type { UseOutcome } from '@canvasridge/slots';
import type { AttemptOutcome, HeldBack, NotRunReason } from './backend-attempt.js';

const HELD_BACK: ReadonlySet<NotRunReason> = new Set<HeldBack>([
  'leaving',
  'backing-off',
  'old-list',
  'not-allowed',
]);
/** Reasons that lie with the request or this node, so that the same backend may be chosen again. */
const BLAMELESS: ReadonlySet<NotRunReason> = new Set<NotRunReason>([
  'not-present',
  'backing-off',
  'old-list',
  'not-allowed',
]);

/** Whether anything may have been written to the backend. */
export function wasWritten(outcome: AttemptOutcome): boolean {
  return outcome.kind !== 'not-run' || !HELD_BACK.has(outcome.reason);
}

/** Whether the same backend may be chosen for the next attempt. */
export function mayChooseAgain(outcome: AttemptOutcome): boolean {
  return outcome.kind === 'not-run' && BLAMELESS.has(outcome.reason);
}

/** What the use of a backend came to, for whoever chooses backends. */
export function useOutcomeOf(outcome: AttemptOutcome): UseOutcome {
  switch (outcome.kind) {
    case 'complete':
      return 'served';
    case 'cancelled':
      return 'cancelled';
    case 'failure':
    case 'broken':
      return 'failed';
    case 'not-run':
      if (outcome.reason === 'not-present') return 'not-present';
      return BLAMELESS.has(outcome.reason) ? 'cancelled' : 'refused';
  }
}

/** For log lines and answers. */
export function detailOf(outcome: AttemptOutcome): string {
  switch (outcome.kind) {
    case 'not-run':
      return outcome.reason;
    case 'broken':
      return outcome.detail;
    case 'failure':
      return `status ${outcome.status}`;
    case 'complete':
    case 'cancelled':
      return outcome.kind;
  }
}
