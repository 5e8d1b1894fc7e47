import type { Clock } from '@canvasridge/clock';
import type { Result } from 'neverthrow';
import type { BindError } from './bind-error.js';

/** Conditions that pass: the last user of the address ends, or the interface gets its address. */
const TRANSIENT_CODES: ReadonlySet<string | undefined> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL']);
const PAUSE_MS = 100;

export interface BindRetryOptions {
  readonly clock: Pick<Clock, 'now' | 'sleep'>;
  /** Time after which the last error is final; Infinity for none. */
  readonly timeoutMs: number;
  /** Called once, when the address is not free at first. */
  readonly onWaiting: (error: BindError) => void;
  /** Called if the address was bound after waiting. */
  readonly onBound: (error: BindError, waitedMs: number) => void;
  /** Ends the waiting: the last error is then final. */
  readonly signal?: AbortSignal;
}

/**
 * Binds an address, and tries again while something else uses it: a process that is replaced may hold its addresses
 * until it has stopped.
 * @param bind one try
 */
export async function bindWhenFree<T, E extends BindError>(
  bind: () => Promise<Result<T, E>>,
  options: BindRetryOptions,
): Promise<Result<T, E>> {
  const { clock, timeoutMs, signal } = options;
  const startedMs = clock.now();
  let waitingFor: E | undefined;
  for (;;) {
    const bound = await bind();
    const waitedMs = clock.now() - startedMs;
    if (bound.isOk()) {
      if (waitingFor !== undefined) options.onBound(waitingFor, waitedMs);
      return bound;
    }
    const isFinal = !TRANSIENT_CODES.has(bound.error.code) || waitedMs + PAUSE_MS > timeoutMs;
    if (isFinal || signal?.aborted === true) return bound;
    if (waitingFor === undefined) options.onWaiting(bound.error);
    waitingFor = bound.error;
    await clock.sleep(PAUSE_MS, signal);
  }
}
