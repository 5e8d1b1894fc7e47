import type { SocketAddress } from '@canvasridge/addresses';
import type { Clock, Timer } from '@canvasridge/clock';
import type { PoolRequest, SlotDecision } from '@canvasridge/slots';
import type * as z from 'zod';
import type { UnreadLog } from '../peers/unread-log.js';
import {
  ACQUIRE_METHOD,
  CANCEL_METHOD,
  acquireReply,
  cancelledDecision,
  slotDecision,
  type AcquireParams,
  type AcquireReply,
} from './slot-protocol.js';

/** A leader that sends nothing at all for this long after a request is considered unreachable. */
const SILENCE_MS = 400;
/** A leader that is sending other messages acknowledges a request within this time. */
const ACKNOWLEDGE_TIMEOUT_MS = 1500;
/** No leader is asked for this long after one was silent. */
const AVOID_LEADER_MS = 400;
/** A queued request without a decision from its leader is decided here after its timeout plus this margin. */
const DECISION_MARGIN_MS = 50;

/** A queued request is checked after this many times the time in which its leader has to answer. */
const CHECK_AFTER_ANSWERS = 2;

/** A leader of plain backends that did not answer in time is not asked for this long. */
const ASK_AGAIN_AFTER_MS = 400;

/** Persistent connections to other nodes. */
export interface LeaderNetwork {
  to(address: SocketAddress): LeaderConnection;
  drop(address: SocketAddress): void;
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

interface QueuedRequest {
  readonly pool: string;
  readonly address: SocketAddress;
  readonly cancel: () => void;
  /** Tells the leader that the request needs no slot any more, though its client waits. */
  readonly withdraw: () => void;
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
  #avoidLeaderUntilMs = 0;
  /** By address of a leader of plain backends: until when it is not asked, as it did not answer. */
  readonly #silentUntilMs = new Map<SocketAddress, number>();

  readonly #log: UnreadLog | undefined;

  /** @param onSilent called with the address of a leader that sent nothing after a request */
  constructor(clock: Clock, network: LeaderNetwork, onSilent: (address: string) => void, log?: UnreadLog) {
    this.#log = log;
    this.#onSilent = onSilent;
    this.#clock = clock;
    this.#network = network;
  }

  /** Undefined when the leader can't be asked. One that does not lead any more refuses the request as `stopping`. */
  async acquire(
    address: SocketAddress,
    pool: string,
    request: PoolRequest,
    cancelled: AbortSignal,
  ): Promise<SlotDecision | undefined> {
    if (cancelled.aborted) return cancelledDecision(request.id);
    if (this.#clock.now() < this.#avoidLeaderUntilMs) return undefined;
    const peer = this.#network.to(address);
    const decided = this.#awaitDecision(address, peer, pool, request, cancelled);
    const params: AcquireParams = { pool, request };
    const watch = this.#watchSilence(address, peer);
    const answer = await peer.call(ACQUIRE_METHOD, params, ACKNOWLEDGE_TIMEOUT_MS);
    watch.cancel();
    const reply = this.#read(acquireReply, address, answer);
    if (answer !== undefined && reply === undefined) withdraw(peer, pool, request.id);
    if (reply?.kind === 'queued') return decided;
    const decision = reply?.kind === 'not-leader' ? cancelledDecision(request.id) : reply?.decision;
    this.#queued.get(request.id)?.finish(decision);
    return decided;
  }

  /**
   * Requests a slot of a plain backend, which can also be chosen without the leader: a leader that does not
   * answer within `answerWithinMs` is not waited for, neither at first nor while the request is queued there:
   * the request is withdrawn, and the leader is not asked for a short time. Undefined when the leader did not
   * answer, or does not lead.
   */
  async acquireUnlessSilent(
    address: SocketAddress,
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
      const answer = await peer.call(ACQUIRE_METHOD, params, answerWithinMs);
      const reply = this.#read(acquireReply, address, answer);
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

  /**
   * Handles a decision of the leader about a request that was queued there. One that is not valid counts as none, and the
   * leader is told, as it may have granted a slot.
   */
  onDecided(params: unknown): void {
    const requestId = (params as { readonly requestId?: unknown } | null | undefined)?.requestId;
    const queued = typeof requestId === 'string' ? this.#queued.get(requestId) : undefined;
    if (queued === undefined) return;
    const decision = this.#read(slotDecision, queued.address, params);
    if (decision === undefined) queued.withdraw();
    queued.finish(decision);
  }

  /** Undefined without an answer, and for one that is not valid, which is logged. */
  #read<T>(schema: z.ZodType<T>, address: string, answer: unknown): T | undefined {
    if (answer === undefined) return undefined;
    return this.#log === undefined
      ? schema.safeParse(answer).data
      : this.#log.read(schema, 'peer.answer-unread', address, answer);
  }

  /**
   * Cancels requests queued at a previous leader: the pool is now led from another address, or from none that
   * is known.
   */
  leaderChanged(pool: string, address: SocketAddress | undefined): void {
    for (const queued of [...this.#queued.values()]) {
      if (queued.pool === pool && queued.address !== address) queued.cancel();
    }
  }

  /**
   * Drops the connection to a leader that is silent. The connection to one that is merely busy is kept: a
   * leader releases everything that it granted to a node when their connection ends.
   */
  #watchSilence(address: SocketAddress, peer: LeaderConnection): Timer {
    const receivedBefore = peer.received;
    return this.#clock.setTimer(SILENCE_MS, () => {
      if (peer.received !== receivedBefore) return;
      this.#avoidLeaderUntilMs = this.#clock.now() + AVOID_LEADER_MS;
      this.#network.drop(address);
      this.#onSilent(address);
    });
  }

  #awaitDecision(
    address: SocketAddress,
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
      this.#queued.set(id, { pool, address, cancel, finish, withdraw: () => withdraw(peer, pool, id) });
    });
  }
}

function withdraw(peer: LeaderConnection, pool: string, requestId: string): void {
  peer.notify(CANCEL_METHOD, { pool, requestId, outcome: 'cancelled', isWithdrawn: true });
}

/** Whether a leader that gave this answer may still grant the request, or has granted it. */
function mayHold(reply: AcquireReply | undefined): boolean {
  if (reply?.kind === 'decided') return reply.decision.kind === 'granted';
  return reply?.kind !== 'not-leader';
}
