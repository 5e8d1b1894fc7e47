import type { FleetState } from '@canvasridge/serving';
import type { SlotDecision } from '@canvasridge/slots';
import { rateLimitRule } from '../backends/backend-rate-limits.js';
import type { PeerConnection } from '../peers/peer-connection.js';
import type { Cluster } from './cluster.js';
import { PeerUses } from './peer-uses.js';
import type { PoolEntry } from './pool-entry.js';
import {
  DECIDED_METHOD,
  type AcquireParams,
  type AcquireReply,
  type RateLimitParams,
  type ReleaseParams,
  type StartedParams,
  type UsesParams,
} from './slot-protocol.js';

/** With more, the names of those that are no members are forgotten. */
const MAX_REPORTED_MEMBERS = 1024;

export interface SlotAnswersOptions {
  readonly fleet: FleetState;
  readonly cluster: Cluster;
  /** By the pool's name. */
  readonly pools: ReadonlyMap<string, PoolEntry>;
  /** Called with the memory of all uses of a peer when it has changed. */
  readonly onUsesHeld?: ((peer: PeerConnection, bytes: number) => void) | undefined;
}

/**
 * Handles messages of other nodes that ask this one, as the leader of a pool, for slots or report on those
 * that they were granted.
 */
export class SlotAnswers {
  readonly #options: SlotAnswersOptions;
  readonly #pools: ReadonlyMap<string, PoolEntry>;
  readonly #peerUses: PeerUses;

  constructor(options: SlotAnswersOptions) {
    this.#options = options;
    this.#pools = options.pools;
    this.#peerUses = new PeerUses(options.onUsesHeld);
  }

  onAcquire(params: AcquireParams, peer: PeerConnection): AcquireReply {
    const entry = this.#pools.get(params.pool);
    const pool = entry?.pool;
    if (entry?.leading !== true || pool === undefined) return { kind: 'not-leader' };
    const { id: requestId } = params.request;
    const { length } = JSON.stringify(params.request);
    this.#peerUses.record(peer, { pool: params.pool, requestId }, length);
    let immediate: SlotDecision | undefined;
    let answered = false;
    pool.acquire(params.request, (decision) => {
      if (decision.kind === 'refused') this.#peerUses.forget(peer, requestId);
      if (!answered) immediate = this.#withEntryRevision(decision);
      else peer.notify(DECIDED_METHOD, this.#withEntryRevision(decision));
    });
    answered = true;
    return immediate === undefined ? { kind: 'queued' } : { kind: 'decided', decision: immediate };
  }

  /**
   * Adds the revision of the engine's entry, so that a node that does not list the engine can tell whether it
   * is new or removed.
   */
  #withEntryRevision(decision: SlotDecision): SlotDecision {
    if (decision.kind === 'refused') return decision;
    const { fleet } = this.#options;
    const entryRevision = fleet.entryRevision(decision.backendId);
    return entryRevision === undefined ? decision : { ...decision, entryRevision, entryEra: fleet.era };
  }

  onCancel(params: ReleaseParams, peer: PeerConnection): void {
    const pool = this.#pools.get(params.pool)?.pool;
    this.#peerUses.forget(peer, params.requestId);
    pool?.cancel(params.requestId, params.isWithdrawn === true);
    pool?.release(params.requestId, 'cancelled');
  }

  onStarted({ pool, requestIds }: StartedParams): void {
    const entry = this.#pools.get(pool);
    for (const requestId of requestIds) entry?.pool?.started(requestId);
  }

  onUses({ pool, member, uses }: UsesParams, peer: PeerConnection): void {
    const entry = this.#pools.get(pool);
    const adopting = entry?.pool;
    if (entry === undefined || adopting === undefined) return;
    this.#recordReport(entry, member);
    for (const use of uses) {
      this.#peerUses.record(peer, { pool, requestId: use.requestId }, JSON.stringify(use).length);
      adopting.adoptUse(use);
    }
    this.checkUsesKnown(entry);
  }

  /** A member may report before this node knows it. */
  #recordReport({ reportedMembers }: PoolEntry, member: string): void {
    const { cluster } = this.#options;
    if (reportedMembers.size >= MAX_REPORTED_MEMBERS)
      for (const id of reportedMembers) if (cluster.processOf(id) === undefined) reportedMembers.delete(id);
    reportedMembers.add(member);
  }

  /** Once all members have reported what they run, adapters may be evicted again. */
  checkUsesKnown({ pool, reportedMembers, leading }: PoolEntry): void {
    if (!leading) return;
    const { cluster } = this.#options;
    const others = cluster.serving().filter(({ id }) => id !== cluster.selfId);
    if (others.length > 0 && others.every(({ id }) => reportedMembers.has(id))) pool?.handleAllUsesReported();
  }

  onRateLimit({ pool, backendId, perSecond }: RateLimitParams): void {
    const entry = this.#pools.get(pool);
    if (entry?.leading !== true) return;
    entry.engines?.setRateLimit(backendId, perSecond === null ? undefined : rateLimitRule(perSecond));
  }

  onRelease(params: ReleaseParams, peer: PeerConnection): void {
    if (params.leaving !== undefined) this.#options.fleet.recordAnnouncedShutdown(params.leaving, 'peer');
    this.#peerUses.forget(peer, params.requestId);
    this.#pools.get(params.pool)?.pool?.release(params.requestId, params.outcome, params.progress);
  }

  /**
   * Releases everything held for a node whose connection ended, as it can't report any more when its requests
   * end.
   */
  onPeerClosed(peer: PeerConnection): void {
    for (const { pool, requestId } of this.#peerUses.takeAll(peer)) {
      this.#pools.get(pool)?.pool?.cancel(requestId, true);
      this.#pools.get(pool)?.pool?.release(requestId, 'cancelled');
    }
  }
}
