/**
 * Admission control before a request is routed: rate limits, quotas, retry budgets, idempotency keys and
 * quarantine.
 */
export { CallerLimits, type LimitRefusal, type Permit } from './caller-limits.js';
export { RetryBudget } from './retry-budget.js';
export {
  RequestKeys,
  KEY_TRANSFERS,
  type KeyClaim,
  type KeyOutcome,
  type KeyTransfer,
  type StoredAnswer,
} from './request-keys.js';
export { HOME_EPOCH_MS, formatHome, parseHome, type HomeToken } from './home-token.js';
export { TokenBucket } from './token-bucket.js';
export { type QuotaDecision, type QuotaGate, type QuotaRule, type QuotaRules } from './quota/quota-gate.js';
export { QuotaLender, type Loan, type LoanRequest, type QuotaLenderOptions } from './quota/quota-lender.js';
export { QuotaShares, type QuotaSharesOptions } from './quota/quota-shares.js';
export { UnitBucket } from './quota/unit-bucket.js';
export { QuotaBorrower, type SendLoanRequests, type QuotaBorrowerOptions } from './quota/quota-borrower.js';
export { CompletedRuns } from './quarantine/completed-runs.js';
export { INTERRUPTION_WINDOW_MS, InterruptionHistory } from './quarantine/interruption-history.js';
export { PartEvidence, type PartCrash, type RunsKnown } from './quarantine/part-evidence.js';
export { type PartCrashGate, type PartRun } from './quarantine/part-crash-gate.js';
export { type QuarantineGate } from './quarantine/quarantine-gate.js';
export {
  QUARANTINE_MS,
  QuarantineList,
  type LiftedQuarantine,
  type QuarantinedRequest,
} from './quarantine/quarantine-list.js';
export { UnresolvedRuns, type UnresolvedRun } from './quarantine/unresolved-runs.js';
export { TRIAL_DELAYS_MS, TrialVotes, type TrialVote } from './quarantine/trial-votes.js';
