import type { Clock, Timer } from '@canvasridge/clock';
import type { PoolRequest, SlotDecision } from '@canvasridge/slots';
import {
  ACQUIRE_METHOD,
  CANCEL_METHOD,
  cancelledDecision,
  type AcquireParams,
  type AcquireReply,
} from './slot-protocol.js';

/** A leader that sends nothing at all for this long after a request is considered silent. */
const SILENCE_MS = 400;
/** A connection over which nothing came for this long after a request is replaced: another leader is elected by then. */
const LOST_AFTER_MS = 2500;
/** A leader that is sending other messages acknowledges a request within this time. */
const ACKNOWLEDGE_TIMEOUT_MS = 1500;
/** A leader that was silent is not asked for this long, unless it sends something. */
const AVOID_LEADER_MS = 400;
/** A queued request without a decision from its leader is decided here after its timeout plus this margin. */
const DECISION_MARGIN_MS = 50;

/** A queued request is checked after this many times the time in which its leader has to answer. */
const CHECK_AFTER_ANSWERS = 2;

/** A leader of plain backends that did not answer in time is not asked for this long. */
const ASK_AGAIN_AFTER_MS = 400;

/** Persistent connections to other nodes. */
export interface LeaderNetwork {
  to(address: string): LeaderConnection;
  drop(address: string): void;
}

/** A connection to the node that leads a pool. */
export interface LeaderConnection {
  call(method: string, params: unknown, timeoutMs: number): Promise<unknown>;
  notify(method: string, params: unknown): void;
  /** Messages received so far. */
  readonly received: number;
  /** Calls the listener once when the connection ends. Returns a function that removes the listener. */
  onClosed(listener: () => void): () => void;
}

/** A leader that sent nothing after a request. */
interface SilentLeader {
  readonly peer: LeaderConnection;
  /** Messages that had been received from it then. */
  readonly received: number;
  avoidUntilMs: number;
}

interface QueuedRequest {
  readonly pool: string;
  readonly address: string;
  readonly cancel: () => void;
  readonly finish: (decision: SlotDecision | undefined) => void;
}

/**
 * Requests slots from another node, the leader of a pool, and waits for its decisions. A leader that is lost
 * or replaced makes no further decisions: requests that wait for it are ended so that the caller asks again.
 */
export class RemoteSlots {
  readonly #clock: Clock;
  readonly #network: LeaderNetwork;
  readonly #onSilent: (address: string) => void;
  readonly #queued = new Map<string, QueuedRequest>();
  /** By address. */
  readonly #silent = new Map<string, SilentLeader>();
  /** By address of a leader of plain backends: until when it is not asked, as it did not answer. */
  readonly #silentUntilMs = new Map<string, number>();

  /** @param onSilent called with the address of a leader that sent nothing after a request */
  constructor(clock: Clock, network: LeaderNetwork, onSilent: (address: string) => void) {
    this.#onSilent = onSilent;
    this.#clock = clock;
    this.#network = network;
  }

  /**
   * Undefined when the leader can't be asked or did not answer. The request is withdrawn then, so that a leader that gets
   * it late grants it to nobody; it may ask again under another id. One that does not lead any more refuses it as
   * `stopping`.
   */
  async acquire(
    address: string,
    pool: string,
    request: PoolRequest,
    cancelled: AbortSignal,
  ): Promise<SlotDecision | undefined> {
    if (cancelled.aborted) return cancelledDecision(request.id);
    const peer = this.#network.to(address);
    if (this.#isSilent(address, peer)) return undefined;
    const decided = this.#awaitDecision(address, peer, pool, request, cancelled);
    const queued = this.#queued.get(request.id);
    const watch = this.#watchSilence(address, peer, () => queued?.finish(undefined));
    const params: AcquireParams = { pool, request };
    void peer.call(ACQUIRE_METHOD, params, ACKNOWLEDGE_TIMEOUT_MS).then((answer) => {
      watch.cancel();
      const reply = answer as AcquireReply | undefined;
      if (reply?.kind === 'not-leader') queued?.finish(cancelledDecision(request.id));
      else if (reply?.kind !== 'queued') queued?.finish(reply?.decision);
    });
    const decision = await decided;
    watch.cancel();
    if (decision === undefined)
      peer.notify(CANCEL_METHOD, {
        pool,
        requestId: request.id,
        outcome: 'cancelled',
        isWithdrawn: true,
      });
    return decision;
  }

  /**
   * Requests a slot of a plain backend, which can also be chosen without the leader: a leader that does not
   * answer within `answerWithinMs` is not waited for, neither at first nor while the request is queued there:
   * the request is withdrawn, and the leader is not asked for a short time. Undefined when the leader did not
   * answer, or does not lead.
   */
  async acquireUnlessSilent(
    address: string,
    pool: string,
    request: PoolRequest,
    cancelled: AbortSignal,
    answerWithinMs: number,
  ): Promise<SlotDecision | undefined> {
    if (cancelled.aborted) return cancelledDecision(request.id);
    if (this.#clock.now() < (this.#silentUntilMs.get(address) ?? -Infinity)) return undefined;
    const peer = this.#network.to(address);
    const decided = this.#awaitDecision(address, peer, pool, request, cancelled);
    const askedMs = this.#clock.now();
    for (;;) {
      const aged = { ...request, ageMs: request.ageMs + this.#clock.now() - askedMs };
      const params: AcquireParams = { pool, request: aged };
      const reply = (await peer.call(ACQUIRE_METHOD, params, answerWithinMs)) as AcquireReply | undefined;
      if (reply === undefined) this.#silentUntilMs.set(address, this.#clock.now() + ASK_AGAIN_AFTER_MS);
      else this.#silentUntilMs.delete(address);
      const queued = this.#queued.get(request.id);
      if (reply?.kind === 'queued' && queued !== undefined) {
        await Promise.race([decided, this.#clock.sleep(answerWithinMs * CHECK_AFTER_ANSWERS)]);
        if (this.#queued.has(request.id)) continue;
        return decided;
      }
      if (queued !== undefined && reply?.kind === 'decided') queued.finish(reply.decision);
      else if (queued !== undefined) queued.finish(undefined);
      const decision = await decided;
      // Without this, a leader that gets the request late, or again after it was decided, would grant it to nobody.
      if (decision?.kind !== 'granted' && mayHold(reply))
        peer.notify(CANCEL_METHOD, {
          pool,
          requestId: request.id,
          outcome: 'cancelled',
          isWithdrawn: !cancelled.aborted,
        });
      return decision;
    }
  }

  /** Handles a decision of the leader about a request that was queued there. */
  onDecided(decision: SlotDecision): void {
    this.#queued.get(decision.requestId)?.finish(decision);
  }

  /**
   * Cancels requests queued at a previous leader: the pool is now led from another address, or from none that
   * is known.
   */
  leaderChanged(pool: string, address: string | undefined): void {
    for (const queued of [...this.#queued.values()]) {
      if (queued.pool === pool && queued.address !== address) queued.cancel();
    }
  }

  /** Calls back if nothing is received from a leader for a while. */
  #watchSilence(address: string, peer: LeaderConnection, onSilent: () => void): Timer {
    const receivedBefore = peer.received;
    return this.#clock.setTimer(SILENCE_MS, () => {
      if (peer.received !== receivedBefore) return;
      this.#recordSilence(address, peer);
      onSilent();
      this.#onSilent(address);
    });
  }

  /**
   * The connection is kept, as a leader releases everything that it granted to a node when their connection ends: one that
   * is only silent for a moment would grant the slots of running requests again.
   */
  #recordSilence(address: string, peer: LeaderConnection): void {
    const { received } = peer;
    const avoidUntilMs = this.#clock.now() + AVOID_LEADER_MS;
    const known = this.#silent.get(address);
    if (known?.peer === peer && known.received === received) {
      known.avoidUntilMs = avoidUntilMs;
      return;
    }
    this.#silent.set(address, { peer, received, avoidUntilMs });
    const timer = this.#clock.setTimer(LOST_AFTER_MS - SILENCE_MS, () => {
      removeCloseListener();
      if (peer.received === received) this.#network.drop(address);
    });
    const removeCloseListener = peer.onClosed(() => timer.cancel());
  }

  /** Whether a leader was silent just now and has sent nothing since. */
  #isSilent(address: string, peer: LeaderConnection): boolean {
    const silent = this.#silent.get(address);
    if (silent === undefined) return false;
    if (silent.peer === peer && silent.received === peer.received)
      return this.#clock.now() < silent.avoidUntilMs;
    this.#silent.delete(address);
    return false;
  }

  #awaitDecision(
    address: string,
    peer: LeaderConnection,
    pool: string,
    request: PoolRequest,
    cancelled: AbortSignal,
  ): Promise<SlotDecision | undefined> {
    const { id } = request;
    return new Promise((resolve) => {
      const finish = (decision: SlotDecision | undefined): void => {
        if (!this.#queued.delete(id)) return;
        timer.cancel();
        removeCloseListener();
        cancelled.removeEventListener('abort', cancel);
        resolve(decision);
      };
      const cancel = (): void => {
        peer.notify(CANCEL_METHOD, { pool, requestId: id, outcome: 'cancelled' });
        finish(cancelledDecision(id));
      };
      const limitMs = Math.max(request.startWithinMs - request.ageMs, 0) + DECISION_MARGIN_MS;
      const timer = this.#clock.setTimer(limitMs, () => finish(undefined));
      const removeCloseListener = peer.onClosed(() => finish(cancelledDecision(id)));
      cancelled.addEventListener('abort', cancel, { once: true });
      this.#queued.set(id, { pool, address, cancel, finish });
    });
  }
}

/** Whether a leader that gave this answer may still grant the request, or has granted it. */
function mayHold(reply: AcquireReply | undefined): boolean {
  if (reply?.kind === 'decided') return reply.decision.kind === 'granted';
  return reply?.kind !== 'not-leader';
}
