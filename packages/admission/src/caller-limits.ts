import type { Clock } from '@canvasridge/clock';
import type { CallerDefinition } from '@canvasridge/domain';
import { err, ok, type Result } from 'neverthrow';
import { TokenBucket } from './token-bucket.js';

/** Why a request was refused by its caller's limits. */
export type LimitRefusal =
  | { readonly kind: 'rate-limited'; readonly retryAfterSeconds: number }
  | { readonly kind: 'concurrency-limited'; readonly limit: number };

/** One of the concurrent requests that a caller may have; to be released when the request ends. */
export interface Permit {
  release(): void;
}

interface CallerState {
  readonly bucket: TokenBucket;
  running: number;
}

/** A caller's burst, in seconds of its rate. */
const BURST_SECONDS = 1;

/**
 * Rate and concurrency limits of each caller on this node. Callers spread their requests over the nodes, so
 * each node enforces a share of a caller's limit; the shares of all nodes add up to the whole limit.
 */
export class CallerLimits {
  readonly #clock: Clock;
  readonly #share: (caller: string) => number;
  readonly #callers = new Map<string, CallerState>();

  /**
   * @param share returns the fraction of the caller's limit that this node enforces, above 0 and at most 1
   */
  constructor(clock: Clock, share: (caller: string) => number) {
    this.#clock = clock;
    this.#share = share;
  }

  admit(caller: CallerDefinition): Result<Permit, LimitRefusal> {
    const share = this.#share(caller.name);
    const rate = caller.requestsPerSecond * share;
    const burst = Math.max(1, rate * BURST_SECONDS);
    const limit = Math.max(1, Math.ceil(caller.concurrency * share));
    const state = this.#state(caller.name, burst);
    if (state.running >= limit) return err({ kind: 'concurrency-limited', limit });
    const retryAfterSeconds = state.bucket.take(rate, burst);
    if (retryAfterSeconds > 0) return err({ kind: 'rate-limited', retryAfterSeconds });
    state.running += 1;
    return ok(this.#newPermit(state));
  }

  #state(name: string, burst: number): CallerState {
    let state = this.#callers.get(name);
    if (state === undefined) {
      state = { bucket: new TokenBucket(this.#clock, burst), running: 0 };
      this.#callers.set(name, state);
    }
    return state;
  }

  #newPermit(state: CallerState): Permit {
    let released = false;
    return {
      release: () => {
        if (released) return;
        released = true;
        state.running -= 1;
      },
    };
  }
}
