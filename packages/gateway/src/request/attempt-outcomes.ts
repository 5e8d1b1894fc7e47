import type { UseOutcome } from '@canvasridge/slots';
import type { AttemptOutcome, NotWrittenReason, NotRunReason } from './backend-attempt.js';

const NOT_WRITTEN_REASONS: ReadonlySet<NotRunReason> = new Set<
  NotWrittenReason | 'no-relay' | 'no-path' | 'defect'
>([
  'leaving',
  'backing-off',
  'old-list',
  'not-allowed',
  'other-version',
  'old-adapter',
  'no-relay',
  'no-path',
  'defect',
]);
/** Reasons that say nothing against the backend itself, so that the same backend may be chosen again. */
const BACKEND_REUSABLE_REASONS: ReadonlySet<NotRunReason> = new Set<NotRunReason>([
  'not-present',
  'backing-off',
  'old-list',
  'not-allowed',
  'no-relay',
  'no-path',
]);
/** Reasons that don't count against the backend where backends are chosen for other requests. */
const NOT_OF_BACKEND_REASONS: ReadonlySet<NotRunReason> = new Set<NotRunReason>([
  ...BACKEND_REUSABLE_REASONS,
  'other-version',
  'old-adapter',
  'defect',
]);

/** Whether any part of the request may have been written to the backend. */
export function wasWritten(outcome: AttemptOutcome): boolean {
  return outcome.kind !== 'not-run' || !NOT_WRITTEN_REASONS.has(outcome.reason);
}

/** Whether the next attempt may use the same backend. */
export function mayReuseBackend(outcome: AttemptOutcome): boolean {
  return outcome.kind === 'not-run' && BACKEND_REUSABLE_REASONS.has(outcome.reason);
}

/** Whether the backend may still run the request, as it need not notice that its connection was given up. */
export function mayStillRun(outcome: AttemptOutcome): boolean {
  return outcome.kind === 'broken' && (outcome.how === 'silent' || outcome.how === 'relay-lost');
}

/** Whether the attempt failed in a way that a lost path to the backend would explain. */
export function isPathFailure(outcome: AttemptOutcome): boolean {
  if (outcome.kind === 'broken') return outcome.how !== 'bad-answer';
  return outcome.kind === 'not-run' && outcome.reason === 'unreachable';
}

/** Whether a relayed attempt failed for a reason that another relaying node may not have. */
export function isRelayFailure(outcome: AttemptOutcome): boolean {
  if (outcome.kind === 'broken') return outcome.how === 'relay-lost';
  return (
    outcome.kind === 'not-run' &&
    (outcome.reason === 'no-relay' ||
      outcome.reason === 'unreachable' ||
      NOT_WRITTEN_REASONS.has(outcome.reason))
  );
}

/** The outcome as reported to the code that chooses backends and counts their slots. */
export function useOutcomeOf(outcome: AttemptOutcome): UseOutcome {
  switch (outcome.kind) {
    case 'complete':
      return 'served';
    case 'cancelled':
      return 'cancelled';
    case 'failure':
      return 'failed';
    case 'broken':
      return outcome.how === 'relay-lost' ? 'cancelled' : 'failed';
    case 'not-run':
      if (outcome.reason === 'not-present') return 'not-present';
      return NOT_OF_BACKEND_REASONS.has(outcome.reason) ? 'cancelled' : 'refused';
  }
}

/** Short description for log lines and responses. */
export function describeOutcome(outcome: AttemptOutcome): string {
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
