import type { Clock, Timer } from '@canvasridge/clock';

/** A request of an engine's owner for a grant to load an adapter. */
export interface LoadGrantRequest {
  readonly engineId: string;
  readonly key: string;
  /** Number of waiting requests times their priority: loads that unblock more waiting work start first. */
  readonly weight: number;
}

/** Permission to start one load. `finish` returns it. */
export interface LoadGrant {
  finish(): void;
}

/** A queued load request. */
interface QueuedLoad {
  readonly request: LoadGrantRequest;
  readonly queuedAtMs: number;
  readonly resolve: (grant: LoadGrant) => void;
}

/** Weight that a load request gains for each second it waits, so that light requests are not starved. */
const WEIGHT_GAIN_PER_SECOND = 1;
/** A grant expires after this time if it is not returned because its holder is gone. */
const GRANT_EXPIRY_MS = 30_000;

/**
 * Limits the rate and concurrency of loads from the weight store. The load request with the highest weight is
 * next.
 */
export class LoadQueue {
  readonly #clock: Clock;
  readonly #limits: () => { readonly loadsPerSecond: number; readonly concurrency: number };
  readonly #queued = new Set<QueuedLoad>();
  #active = 0;
  #nextStartMs = 0;
  #timer: Timer | undefined;

  constructor(clock: Clock, limits: () => { readonly loadsPerSecond: number; readonly concurrency: number }) {
    this.#clock = clock;
    this.#limits = limits;
  }

  get length(): number {
    return this.#queued.size;
  }

  get active(): number {
    return this.#active;
  }

  /** Resolves with a grant when the load may start, or with undefined if `signal` is aborted first. */
  acquire(request: LoadGrantRequest, signal: AbortSignal): Promise<LoadGrant | undefined> {
    if (signal.aborted) return Promise.resolve(undefined);
    return new Promise((resolve) => {
      const handleAbort = (): void => {
        this.#queued.delete(entry);
        resolve(undefined);
      };
      const entry: QueuedLoad = {
        request,
        queuedAtMs: this.#clock.now(),
        resolve: (grant) => {
          signal.removeEventListener('abort', handleAbort);
          resolve(grant);
        },
      };
      signal.addEventListener('abort', handleAbort, { once: true });
      this.#queued.add(entry);
      this.#startNext();
    });
  }

  #startNext(): void {
    const limits = this.#limits();
    while (this.#queued.size > 0 && this.#active < limits.concurrency) {
      const delayMs = this.#nextStartMs - this.#clock.now();
      if (delayMs > 0) {
        this.#startLater(delayMs);
        return;
      }
      const next = this.#nextQueued();
      if (next === undefined) return;
      this.#queued.delete(next);
      this.#active += 1;
      this.#nextStartMs = this.#clock.now() + 1000 / limits.loadsPerSecond;
      next.resolve(this.#newGrant());
    }
  }

  #startLater(delayMs: number): void {
    if (this.#timer !== undefined) return;
    this.#timer = this.#clock.setTimer(delayMs, () => {
      this.#timer = undefined;
      this.#startNext();
    });
  }

  #nextQueued(): QueuedLoad | undefined {
    const nowMs = this.#clock.now();
    let best: QueuedLoad | undefined;
    let bestWeight = -Infinity;
    for (const entry of this.#queued) {
      const weight = entry.request.weight + ((nowMs - entry.queuedAtMs) / 1000) * WEIGHT_GAIN_PER_SECOND;
      if (weight <= bestWeight) continue;
      best = entry;
      bestWeight = weight;
    }
    return best;
  }

  #newGrant(): LoadGrant {
    let finished = false;
    const finish = (): void => {
      if (finished) return;
      finished = true;
      expiry.cancel();
      this.#active -= 1;
      this.#startNext();
    };
    const expiry = this.#clock.setTimer(GRANT_EXPIRY_MS, finish);
    return { finish };
  }
}
