import type { Clock } from '@canvasridge/clock';
import type { SlotDecision, SlotRequest } from '@canvasridge/slots';
import type { PeerNetwork } from '../peers/peer-network.js';
import {
  ACQUIRE_METHOD,
  CANCEL_METHOD,
  cancelledDecision,
  type AcquireParams,
  type AcquireReply,
} from './slot-protocol.js';

/** A leader acknowledges within this time, or is taken to be out of reach. */
const ACKNOWLEDGE_TIMEOUT_MS = 250;
/** A leader that gave no sign is not asked again for this long. */
const AVOID_LEADER_MS = 400;
/** A queued request whose leader says nothing more is decided here after its timeout and this margin. */
const DECISION_MARGIN_MS = 50;

/** Asks another node, the leader of a pool, for slots, and waits for what it decides. */
export class RemoteSlots {
  readonly #clock: Clock;
  readonly #network: PeerNetwork;
  readonly #queued = new Map<string, (decision: SlotDecision | undefined) => void>();
  #avoidLeaderUntilMs = 0;

  constructor(clock: Clock, network: PeerNetwork) {
    this.#clock = clock;
    this.#network = network;
  }

  /** Undefined when the leader can't be asked, or does not lead. */
  async acquire(
    address: string,
    pool: string,
    request: SlotRequest,
    cancelled: AbortSignal,
  ): Promise<SlotDecision | undefined> {
    if (this.#clock.now() < this.#avoidLeaderUntilMs) return undefined;
    const peer = this.#network.to(address);
    const decided = this.#awaitDecision(request, cancelled, () =>
      peer.notify(CANCEL_METHOD, { pool, requestId: request.id, outcome: 'cancelled' }),
    );
    const params: AcquireParams = { pool, request };
    const reply = (await peer.call(ACQUIRE_METHOD, params, ACKNOWLEDGE_TIMEOUT_MS)) as
      AcquireReply | undefined;
    if (reply === undefined) {
      this.#avoidLeaderUntilMs = this.#clock.now() + AVOID_LEADER_MS;
      this.#network.drop(address);
    }
    if (reply?.kind === 'queued') return decided;
    this.#queued.get(request.id)?.(reply?.kind === 'decided' ? reply.decision : undefined);
    return decided;
  }

  /** A decision of the leader about a request that was queued there. */
  onDecided(decision: SlotDecision): void {
    this.#queued.get(decision.requestId)?.(decision);
  }

  #awaitDecision(
    request: SlotRequest,
    cancelled: AbortSignal,
    onCancel: () => void,
  ): Promise<SlotDecision | undefined> {
    return new Promise((resolve) => {
      const finish = (decision: SlotDecision | undefined): void => {
        if (!this.#queued.delete(request.id)) return;
        timer.cancel();
        cancelled.removeEventListener('abort', abort);
        resolve(decision);
      };
      const abort = (): void => {
        onCancel();
        finish(cancelledDecision(request.id));
      };
      const limitMs = Math.max(request.timeoutMs - request.ageMs, 0) + DECISION_MARGIN_MS;
      const timer = this.#clock.setTimer(limitMs, () => finish(undefined));
      cancelled.addEventListener('abort', abort, { once: true });
      this.#queued.set(request.id, finish);
    });
  }
}
