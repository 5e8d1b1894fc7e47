import type { KeyLease } from './key-lease.js';

/** How soon a published configuration has to be in force. Times in milliseconds. */
export interface ConfigurationBounds {
  /** Counted from the publication. */
  readonly applyMs: number;
  /** After a fault of its connections, a node has to meet its bounds again from this time on. */
  readonly contactMs: number;
}

/** How the operators' entries are read from the store. Times in milliseconds. */
export interface OperatorPace {
  /** Longest watch for changes. */
  readonly watchMs: number;
  /** How long the response to a watch may be late before the connection counts as silent. */
  readonly overdueMs: number;
  /** How long the response to a read may take. */
  readonly readTimeoutMs: number;
}

/** Where no bound is set. */
const DEFAULT_PACE: OperatorPace = { watchMs: 5000, overdueMs: 1000, readTimeoutMs: 2000 };

/**
 * Shares of the time that is left after a connection to the store has fallen silent, right after a watch began. What
 * remains is for a new connection, the read on it, and the way of the configuration to nodes that follow.
 */
const WATCH_SHARE = 0.65;
const OVERDUE_SHARE = 0.15;
/** A read may fall silent as well: it and the next one have to fit in. */
const READ_TIMEOUT_SHARE = 0.6;

/** Below these, usual answers of a store over a usual network count as late. */
const MIN_WATCH_MS = 200;
const MIN_OVERDUE_MS = 100;
const MIN_READ_TIMEOUT_MS = 250;

/** Time within which a configuration must be known although the connection to the store has fallen silent. */
export function silenceBoundMs({ applyMs, contactMs }: ConfigurationBounds): number {
  return Math.max(applyMs, contactMs);
}

/** @param bounds undefined if the operators set none */
export function operatorPace(bounds: ConfigurationBounds | undefined, keyLease: KeyLease): OperatorPace {
  const pace = bounds === undefined ? DEFAULT_PACE : paceWithin(silenceBoundMs(bounds));
  return {
    watchMs: Math.min(keyLease.watchMs, pace.watchMs),
    overdueMs: Math.min(keyLease.overdueMs, pace.overdueMs),
    readTimeoutMs: pace.readTimeoutMs,
  };
}

function paceWithin(boundMs: number): OperatorPace {
  return {
    watchMs: within(boundMs * WATCH_SHARE, MIN_WATCH_MS, DEFAULT_PACE.watchMs),
    overdueMs: within(boundMs * OVERDUE_SHARE, MIN_OVERDUE_MS, DEFAULT_PACE.overdueMs),
    readTimeoutMs: within(boundMs * READ_TIMEOUT_SHARE, MIN_READ_TIMEOUT_MS, DEFAULT_PACE.readTimeoutMs),
  };
}

/** Time until a silent connection to the store is noticed, at most. */
export function silenceNoticedMs({ watchMs, overdueMs }: OperatorPace): number {
  return watchMs + overdueMs;
}

function within(value: number, least: number, most: number): number {
  return Math.min(Math.max(value, least), most);
}
