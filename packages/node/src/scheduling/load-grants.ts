import type { Clock } from '@canvasridge/clock';
import type { Member, PeerCaller } from '@canvasridge/membership';
import { LoadQueue, highestRendezvous, type LoadGrant, type LoadWish } from '@canvasridge/placement';
import * as z from 'zod';

/** Parameters of the methods that peers call. */
export const acquireLoadParams = z.strictObject({
  wishId: z.string(),
  engineId: z.string(),
  key: z.string(),
  weight: z.number(),
});
export const finishLoadParams = z.strictObject({ wishId: z.string() });

const acquireAnswer = z.strictObject({ granted: z.boolean() });
const finishAnswer = z.strictObject({ done: z.boolean() });

export interface LoadGrantsOptions {
  readonly clock: Clock;
  readonly caller: PeerCaller;
  readonly self: () => Member;
  readonly present: () => readonly Member[];
  readonly limits: () => { readonly loadsPerSecond: number; readonly concurrency: number };
  /** Part of all engines whose owners this node can reach; bounds what it grants as their holder. */
  readonly reachableShare: () => number;
  /** Part of all engines that this node owns: its budget while the holder cannot be reached. */
  readonly ownShare: () => number;
}

/** A waiting call is answered after this time, and asked again if it is still wanted. */
const POLL_MS = 4000;
const CALL_MARGIN_MS = 1500;
const FALLBACK_MS = 5000;

/**
 * One budget for the weight store over all nodes, without shared state: the member with the highest
 * rendezvous score keeps the queue. Where it cannot be reached, a node uses the part of the budget that
 * belongs to its own engines, and a holder grants only the part of the engines it can reach, so the
 * parts never add up to more than the whole.
 */
export class LoadGrants {
  readonly #options: LoadGrantsOptions;
  readonly #held: LoadQueue;
  readonly #fallback: LoadQueue;
  readonly #remote = new Map<string, { readonly abort: AbortController; grant: LoadGrant | undefined }>();
  #nextWish = 0;
  #fallbackUntilMs = 0;

  constructor(options: LoadGrantsOptions) {
    this.#options = options;
    this.#held = new LoadQueue(options.clock, () => this.#scaled(options.reachableShare()));
    this.#fallback = new LoadQueue(options.clock, () => this.#scaled(options.ownShare()));
  }

  /** Wishes waiting at this node as the holder. */
  get queueLength(): number {
    return this.#held.length;
  }

  /** Resolves when the load may start; undefined when `signal` aborted first. */
  async acquire(wish: LoadWish, signal: AbortSignal): Promise<LoadGrant | undefined> {
    while (!signal.aborted) {
      const holder = this.#holder();
      if (holder === undefined || holder.id === this.#options.self().id)
        return this.#held.acquire(wish, signal);
      if (this.#options.clock.now() < this.#fallbackUntilMs) return this.#fallback.acquire(wish, signal);
      const grant = await this.#acquireFrom(holder, wish, signal);
      if (grant !== undefined) return grant;
    }
    return undefined;
  }

  /** A peer asks this node, as the holder, for a grant. */
  async handleAcquire(params: z.infer<typeof acquireLoadParams>): Promise<z.infer<typeof acquireAnswer>> {
    const abort = new AbortController();
    const entry: { abort: AbortController; grant: LoadGrant | undefined } = { abort, grant: undefined };
    this.#remote.set(params.wishId, entry);
    const expiry = this.#options.clock.setTimer(POLL_MS, () => abort.abort());
    const grant = await this.#held.acquire(params, abort.signal);
    expiry.cancel();
    if (grant === undefined) {
      this.#remote.delete(params.wishId);
      return { granted: false };
    }
    entry.grant = grant;
    return { granted: true };
  }

  /** A peer gives a grant back, or withdraws a wish. */
  handleFinish(params: z.infer<typeof finishLoadParams>): z.infer<typeof finishAnswer> {
    const entry = this.#remote.get(params.wishId);
    this.#remote.delete(params.wishId);
    entry?.abort.abort();
    entry?.grant?.finish();
    return { done: true };
  }

  #holder(): Member | undefined {
    const working = this.#options.present().filter((member) => member.state !== 'draining');
    return highestRendezvous('weight-store-grants', working, (member) => member.id);
  }

  async #acquireFrom(holder: Member, wish: LoadWish, signal: AbortSignal): Promise<LoadGrant | undefined> {
    const { caller, clock, self } = this.#options;
    this.#nextWish += 1;
    const wishId = `${self().id}~${self().processToken}~${this.#nextWish}`;
    const finish = (): void => {
      void caller.call(holder.peerUrl, 'weights.finish', { wishId }, finishAnswer, CALL_MARGIN_MS);
    };
    signal.addEventListener('abort', finish, { once: true });
    const params = { wishId, engineId: wish.engineId, key: wish.key, weight: wish.weight };
    const timeoutMs = POLL_MS + CALL_MARGIN_MS;
    const answer = await caller.call(holder.peerUrl, 'weights.acquire', params, acquireAnswer, timeoutMs);
    signal.removeEventListener('abort', finish);
    if (answer.isErr()) {
      this.#fallbackUntilMs = clock.now() + FALLBACK_MS;
      return undefined;
    }
    return answer.value.granted && !signal.aborted ? { finish } : undefined;
  }

  #scaled(share: number): { loadsPerSecond: number; concurrency: number } {
    const { loadsPerSecond, concurrency } = this.#options.limits();
    const smallestShare = 0.01;
    const bounded = Math.min(1, Math.max(smallestShare, share));
    return {
      loadsPerSecond: loadsPerSecond * bounded,
      concurrency: Math.max(1, Math.floor(concurrency * bounded)),
    };
  }
}
