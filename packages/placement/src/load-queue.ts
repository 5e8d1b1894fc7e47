import type { Clock, Timer } from '@canvasridge/clock';

/** A load that an engine's owner wants. */
export interface LoadWish {
  readonly engineId: string;
  readonly key: string;
  /** Waiting requests times priority: loads that free more waiting work go first. */
  readonly weight: number;
}

/** Permission to start one load; `finish` gives it back. */
export interface LoadGrant {
  finish(): void;
}

interface Waiting {
  readonly wish: LoadWish;
  readonly sinceMs: number;
  readonly resolve: (grant: LoadGrant) => void;
}

/** Weight that a wish gains for each second it waits, so that light ones are served in the end. */
const AGEING_PER_SECOND = 1;
/** A grant that is never given back, because its holder went away, expires after this time. */
const GRANT_LIMIT_MS = 30_000;

/** Shares out the weight store's rate and concurrency among wishes, heaviest first. */
export class LoadQueue {
  readonly #clock: Clock;
  readonly #limits: () => { readonly loadsPerSecond: number; readonly concurrency: number };
  readonly #waiting = new Set<Waiting>();
  #active = 0;
  #nextStartMs = 0;
  #timer: Timer | undefined;

  constructor(clock: Clock, limits: () => { readonly loadsPerSecond: number; readonly concurrency: number }) {
    this.#clock = clock;
    this.#limits = limits;
  }

  get length(): number {
    return this.#waiting.size;
  }

  get active(): number {
    return this.#active;
  }

  /** Resolves when the load may start; undefined when `signal` aborted first. */
  acquire(wish: LoadWish, signal: AbortSignal): Promise<LoadGrant | undefined> {
    if (signal.aborted) return Promise.resolve(undefined);
    return new Promise((resolve) => {
      const withdraw = (): void => {
        this.#waiting.delete(entry);
        resolve(undefined);
      };
      const entry: Waiting = {
        wish,
        sinceMs: this.#clock.now(),
        resolve: (grant) => {
          signal.removeEventListener('abort', withdraw);
          resolve(grant);
        },
      };
      signal.addEventListener('abort', withdraw, { once: true });
      this.#waiting.add(entry);
      this.#serve();
    });
  }

  #serve(): void {
    const limits = this.#limits();
    while (this.#waiting.size > 0 && this.#active < limits.concurrency) {
      const delayMs = this.#nextStartMs - this.#clock.now();
      if (delayMs > 0) {
        this.#serveLater(delayMs);
        return;
      }
      const next = this.#heaviest();
      if (next === undefined) return;
      this.#waiting.delete(next);
      this.#active += 1;
      this.#nextStartMs = this.#clock.now() + 1000 / limits.loadsPerSecond;
      next.resolve(this.#newGrant());
    }
  }

  #serveLater(delayMs: number): void {
    if (this.#timer !== undefined) return;
    this.#timer = this.#clock.setTimer(delayMs, () => {
      this.#timer = undefined;
      this.#serve();
    });
  }

  #heaviest(): Waiting | undefined {
    const nowMs = this.#clock.now();
    let best: Waiting | undefined;
    let bestWeight = -Infinity;
    for (const entry of this.#waiting) {
      const weight = entry.wish.weight + ((nowMs - entry.sinceMs) / 1000) * AGEING_PER_SECOND;
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
      this.#serve();
    };
    const expiry = this.#clock.setTimer(GRANT_LIMIT_MS, finish);
    return { finish };
  }
}
