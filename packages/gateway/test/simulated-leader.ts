import type { VirtualClock } from '@canvasridge/clock';
import type { FleetState } from '@canvasridge/serving';
import { BackendPool } from '@canvasridge/slots';
import { Telemetry } from '@canvasridge/telemetry';
import type { Cluster } from '../src/cluster/cluster.js';
import type { PoolEntry } from '../src/cluster/pool-entry.js';
import type { LeaderConnection } from '../src/cluster/remote-slots.js';
import { SlotAnswers } from '../src/cluster/slot-answers.js';
import {
  ACQUIRE_METHOD,
  CANCEL_METHOD,
  RELEASE_METHOD,
  USES_METHOD,
  type AcquireParams,
  type ReleaseParams,
  type UsesParams,
} from '../src/cluster/slot-protocol.js';
import type { PeerConnection } from '../src/peers/peer-connection.js';

export const SERVICE = 'ledger';
/** Time that a message takes from one machine to another. */
export const HOP_MS = 2;

/** A node that leads the pool, with the messages that reach it. */
export class SimulatedLeader {
  readonly pool: BackendPool;
  readonly answers: SlotAnswers;
  isFrozen = false;
  isDead = false;
  readonly #held: (() => void)[] = [];

  constructor(clock: VirtualClock, fleet: FleetState) {
    this.pool = new BackendPool({
      service: SERVICE,
      clock,
      telemetry: new Telemetry({ processName: 'leader', clock }),
      disabled: new Set(),
      isLeaving: (id) => fleet.isLeaving(id),
      tenantWeight: () => 1,
    });
    this.pool.setBackends(fleet.backendsOf(SERVICE));
    const entry = { leading: true, pool: this.pool, reportedMembers: new Set() } as unknown as PoolEntry;
    const cluster = { serving: () => [], selfId: 'leader' } as unknown as Cluster;
    this.answers = new SlotAnswers({ fleet, cluster, pools: new Map([[SERVICE, entry]]) });
  }

  deliver(handle: () => void): void {
    if (this.isDead) return;
    if (this.isFrozen) this.#held.push(handle);
    else handle();
  }

  resume(): void {
    this.isFrozen = false;
    for (const handle of this.#held.splice(0)) handle();
  }
}

/** The connection of a node to a leader. */
export class SimulatedLink implements LeaderConnection {
  received = 0;
  isCut = false;
  readonly #closeListeners = new Set<() => void>();
  readonly #peer: PeerConnection;

  constructor(
    readonly clock: VirtualClock,
    readonly leader: SimulatedLeader,
    onDecided: (decision: never) => void,
  ) {
    const notify = (_method: string, decision: unknown): void => {
      this.#later(() => onDecided(decision as never));
    };
    this.#peer = { notify } as unknown as PeerConnection;
  }

  call(method: string, params: unknown, timeoutMs: number): Promise<unknown> {
    return new Promise((resolve) => {
      this.clock.setTimer(timeoutMs, () => resolve(undefined));
      if (method !== ACQUIRE_METHOD) return;
      this.#later(() => {
        this.leader.deliver(() => {
          const reply = this.leader.answers.onAcquire(params as AcquireParams, this.#peer);
          this.#later(() => resolve(reply));
        });
      });
    });
  }

  notify(method: string, params: unknown): void {
    const { answers } = this.leader;
    this.#later(() => {
      this.leader.deliver(() => {
        if (method === CANCEL_METHOD) answers.onCancel(params as ReleaseParams, this.#peer);
        if (method === RELEASE_METHOD) answers.onRelease(params as ReleaseParams, this.#peer);
        if (method === USES_METHOD) answers.onUses(params as UsesParams, this.#peer);
      });
    });
  }

  onClosed(listener: () => void): () => void {
    this.#closeListeners.add(listener);
    return () => this.#closeListeners.delete(listener);
  }

  /** Ends the connection at both ends, as when the process of either ends. */
  close(): void {
    this.isCut = true;
    for (const listener of [...this.#closeListeners]) listener();
    if (!this.leader.isDead) this.leader.answers.onPeerClosed(this.#peer);
  }

  #later(action: () => void): void {
    if (this.isCut) return;
    this.clock.setTimer(HOP_MS, () => {
      this.received += 1;
      if (!this.isCut) action();
    });
  }
}
