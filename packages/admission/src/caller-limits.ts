import type { Clock } from '@canvasridge/clock';
import type { CallerDefinition } from '@canvasridge/domain';
import { err, ok, type Result } from 'neverthrow';
import { TokenBucket } from './token-bucket.js';

/** Why a caller must wait. */
export type LimitRefusal =
  | { readonly kind: 'rate-limited'; readonly retryAfterSeconds: number }
  | { readonly kind: 'concurrency-limited'; readonly limit: number };

/** A place among a caller's concurrent requests. */
export interface Permit {
  release(): void;
}

interface CallerState {
  readonly bucket: TokenBucket;
  running: number;
}

/** Seconds of its rate that a caller may use in one burst. */
const BURST_SECONDS = 1;

/**
 * Rate and concurrency of each caller on this node. The share is the node's part of the caller's limit:
 * callers spread over nodes, and the parts add up to the whole.
 */
export class CallerLimits {
  readonly #clock: Clock;
  readonly #share: (caller: string) => number;
  readonly #callers = new Map<string, CallerState>();

  /** @param share part of the caller's limit that this node may use, above 0 and at most 1 */
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
