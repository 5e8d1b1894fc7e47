import type { Clock } from '@canvasridge/clock';
import type { Member, PeerCaller } from '@canvasridge/membership';
import { LoadQueue, highestRendezvous, type LoadGrant, type LoadGrantRequest } from '@canvasridge/placement';
import { runInBackground, type Telemetry } from '@canvasridge/telemetry';
import * as z from 'zod';

/** Parameters of the methods that peers call on this node. */
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
  /**
   * Fraction of all engines whose owners this node can reach; scales the budget that it grants from as
   * coordinator.
   */
  readonly reachableShare: () => number;
  /**
   * Fraction of all engines that this node owns; scales its own budget while the coordinator is unreachable.
   */
  readonly ownShare: () => number;
  readonly telemetry: Pick<Telemetry, 'event'>;
}

/**
 * The coordinator answers a waiting call after this time; the peer calls again if it still needs the grant.
 */
const POLL_MS = 4000;
/** Added to POLL_MS for the timeout of a call that asks for a grant; alone, that of one that returns it. */
const CALL_MARGIN_MS = 1500;
/** How long the local budget is used after a failed call to the coordinator. */
const FALLBACK_MS = 5000;

/**
 * Limits the adapter loads of all nodes from the weight store to one budget, without shared state: the member
 * with the highest rendezvous score is the coordinator and keeps the queue. While a node cannot reach the
 * coordinator, it uses the share of the budget that corresponds to the engines it owns. The coordinator
 * grants only the share of the engines whose owners it can reach, so the shares never add up to more than the
 * budget.
 */
export class LoadGrants {
  readonly #options: LoadGrantsOptions;
  readonly #coordinatorQueue: LoadQueue;
  readonly #fallbackQueue: LoadQueue;
  /** By the id that a peer gave its request: requests that wait for a grant or hold one. */
  readonly #peerRequests = new Map<
    string,
    { readonly abort: AbortController; grant: LoadGrant | undefined }
  >();
  #lastRequestNumber = 0;
  #fallbackUntilMs = 0;

  constructor(options: LoadGrantsOptions) {
    this.#options = options;
    this.#coordinatorQueue = new LoadQueue(options.clock, () => this.#scaledLimits(options.reachableShare()));
    this.#fallbackQueue = new LoadQueue(options.clock, () => this.#scaledLimits(options.ownShare()));
  }

  /** Load requests queued at this node as the coordinator. */
  get queueLength(): number {
    return this.#coordinatorQueue.length;
  }

  /** Resolves when the load may start, or with undefined when `signal` is aborted first. */
  async acquire(request: LoadGrantRequest, signal: AbortSignal): Promise<LoadGrant | undefined> {
    while (!signal.aborted) {
      const coordinator = this.#coordinator();
      if (coordinator === undefined || coordinator.id === this.#options.self().id)
        return this.#coordinatorQueue.acquire(request, signal);
      if (this.#options.clock.now() < this.#fallbackUntilMs)
        return this.#fallbackQueue.acquire(request, signal);
      const grant = await this.#acquireFrom(coordinator, request, signal);
      if (grant !== undefined) return grant;
    }
    return undefined;
  }

  /** Handles a peer's request for a grant from this node as the coordinator. */
  async handleAcquire(params: z.infer<typeof acquireLoadParams>): Promise<z.infer<typeof acquireAnswer>> {
    const abort = new AbortController();
    const entry: { abort: AbortController; grant: LoadGrant | undefined } = { abort, grant: undefined };
    this.#peerRequests.set(params.wishId, entry);
    const expiry = this.#options.clock.setTimer(POLL_MS, () => abort.abort());
    const grant = await this.#coordinatorQueue.acquire(params, abort.signal);
    expiry.cancel();
    if (grant === undefined) {
      this.#peerRequests.delete(params.wishId);
      return { granted: false };
    }
    entry.grant = grant;
    return { granted: true };
  }

  /** Handles a peer's return of a grant, or its withdrawal of a load request. */
  handleFinish(params: z.infer<typeof finishLoadParams>): z.infer<typeof finishAnswer> {
    const entry = this.#peerRequests.get(params.wishId);
    this.#peerRequests.delete(params.wishId);
    entry?.abort.abort();
    entry?.grant?.finish();
    return { done: true };
  }

  #coordinator(): Member | undefined {
    const eligible = this.#options.present().filter((member) => member.state !== 'draining');
    return highestRendezvous('weight-store-grants', eligible, (member) => member.id);
  }

  async #acquireFrom(
    coordinator: Member,
    request: LoadGrantRequest,
    signal: AbortSignal,
  ): Promise<LoadGrant | undefined> {
    const { caller, clock, self, telemetry } = this.#options;
    this.#lastRequestNumber += 1;
    const wishId = `${self().id}~${self().processToken}~${this.#lastRequestNumber}`;
    const finish = (): void => {
      runInBackground(telemetry, 'grant-return', () =>
        caller.call(coordinator.peerUrl, 'weights.finish', { wishId }, finishAnswer, CALL_MARGIN_MS),
      );
    };
    signal.addEventListener('abort', finish, { once: true });
    const params = { wishId, engineId: request.engineId, key: request.key, weight: request.weight };
    const timeoutMs = POLL_MS + CALL_MARGIN_MS;
    const answer = await caller.call(
      coordinator.peerUrl,
      'weights.acquire',
      params,
      acquireAnswer,
      timeoutMs,
    );
    signal.removeEventListener('abort', finish);
    if (answer.isErr()) {
      this.#fallbackUntilMs = clock.now() + FALLBACK_MS;
      return undefined;
    }
    return answer.value.granted && !signal.aborted ? { finish } : undefined;
  }

  #scaledLimits(share: number): { loadsPerSecond: number; concurrency: number } {
    const { loadsPerSecond, concurrency } = this.#options.limits();
    const minShare = 0.01; // above 0, so that loads are never stopped altogether
    const bounded = Math.min(1, Math.max(minShare, share));
    return {
      loadsPerSecond: loadsPerSecond * bounded,
      concurrency: Math.max(1, Math.floor(concurrency * bounded)),
    };
  }
}
