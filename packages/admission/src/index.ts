/** What is decided before a request is routed: limits, budgets and keys. */
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
