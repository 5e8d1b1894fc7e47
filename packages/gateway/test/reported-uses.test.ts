/**
 * Guards against a leader that forgets the slots that are in use on a node: when their connection ended, as when the
 * leader was silent for a moment, it released them all, and was never told of them again. It then granted more slots than
 * its engines have, and adapters in use counted as idle.
 */
import { VirtualClock } from '@canvasridge/clock';
import { FleetState } from '@canvasridge/serving';
import type { PoolRequest, SlotRequest } from '@canvasridge/slots';
import test from 'ava';
import type { Cluster } from '../src/cluster/cluster.js';
import type { PoolEntry } from '../src/cluster/pool-entry.js';
import type { LeaderConnection } from '../src/cluster/remote-slots.js';
import { SlotAnswers } from '../src/cluster/slot-answers.js';
import {
  ACQUIRE_METHOD,
  RELEASE_METHOD,
  USES_METHOD,
  type AcquireParams,
  type ReleaseParams,
  type UsesParams,
} from '../src/cluster/slot-protocol.js';
import { SlotRequester } from '../src/cluster/slot-requester.js';
import type { PeerConnection } from '../src/peers/peer-connection.js';
import { noRateLimits } from './no-rate-limits.js';

const POOL = 'llm';

function request(id: string): SlotRequest {
  return {
    id,
    model: 'base',
    adapter: 'a',
    priority: 0,
    tenant: undefined,
    objectiveMs: 1000,
    ageMs: 0,
    timeoutMs: 20_000,
    startWithinMs: 4000,
    excluded: [],
    promptTokens: 10,
    traceId: 't1',
    promptKey: undefined,
  };
}

/** A leader that grants each request, and records which slots it holds in use. */
class Leader {
  readonly held = new Set<string>();
  readonly answers: SlotAnswers;

  constructor() {
    const pool = {
      acquire: ({ id }: PoolRequest, decide: (decision: unknown) => void) => {
        this.held.add(id);
        decide({ kind: 'granted', requestId: id, backendId: 'e1', address: '10.0.1.1:1' });
      },
      adoptUse: ({ requestId }: { requestId: string }) => this.held.add(requestId),
      release: (id: string) => this.held.delete(id),
      cancel: () => undefined,
      handleAllUsesReported: () => undefined,
    };
    const entry = { leading: true, pool, reportedMembers: new Set() } as unknown as PoolEntry;
    const cluster = { serving: () => [], selfId: 'leader' } as unknown as Cluster;
    this.answers = new SlotAnswers({ fleet: new FleetState(), cluster, pools: new Map([[POOL, entry]]) });
  }
}

/** A connection of a node to the leader; the leader may learn late that it has ended. */
class Link implements LeaderConnection {
  readonly received = 1;
  isClosed = false;
  readonly #leader: Leader;
  readonly #peer = {} as PeerConnection;

  constructor(leader: Leader) {
    this.#leader = leader;
  }

  call(method: string, params: unknown): Promise<unknown> {
    if (method !== ACQUIRE_METHOD) return Promise.resolve(undefined);
    return Promise.resolve(this.#leader.answers.onAcquire(params as AcquireParams, this.#peer));
  }

  notify(method: string, params: unknown): void {
    const { answers } = this.#leader;
    if (method === USES_METHOD) answers.onUses(params as UsesParams, this.#peer);
    if (method === RELEASE_METHOD) answers.onRelease(params as ReleaseParams, this.#peer);
  }

  onClosed(): () => void {
    return () => undefined;
  }

  noticeEnd(): void {
    this.#leader.answers.onPeerClosed(this.#peer);
  }
}

class Node {
  readonly links: Link[] = [];
  readonly requester: SlotRequester;

  constructor(leader: Leader) {
    const clock = new VirtualClock();
    const entry = { leadership: { leader: 'leader' }, leading: false } as unknown as PoolEntry;
    this.requester = new SlotRequester({
      clock,
      fleet: new FleetState(),
      cluster: {
        selfId: 'node',
        peerAddress: (id: string) => id,
        checkPeer: () => undefined,
      } as unknown as Cluster,
      network: {
        to: () => {
          const open = this.links.findLast(({ isClosed }) => !isClosed);
          if (open !== undefined) return open;
          const link = new Link(leader);
          this.links.push(link);
          return link;
        },
        drop: () => undefined,
      },
      rateLimits: noRateLimits(clock),
      rejectionLimits: { perSecond: () => undefined },
      switchedOff: new Set(),
      pools: new Map([[POOL, entry]]),
      entry: () => entry,
    });
  }

  acquire(id: string): Promise<unknown> {
    return this.requester.acquire(POOL, request(id), new AbortController().signal);
  }

  endConnection(): Link {
    const link = this.links.at(-1);
    if (link === undefined) throw new Error('no connection');
    link.isClosed = true;
    return link;
  }
}

test('a leader whose connection to a node has ended learns again which slots are in use there', async (t) => {
  const leader = new Leader();
  const node = new Node(leader);
  await node.acquire('r1');
  node.endConnection().noticeEnd();
  t.deepEqual([...leader.held], []);
  await node.acquire('r2');
  t.deepEqual([...leader.held].sort(), ['r1', 'r2']);
  node.requester.release(POOL, 'r1', 'served');
  t.deepEqual([...leader.held], ['r2']);
});

test('a leader that learns of the end of a connection after the next one was opened keeps what is in use', async (t) => {
  const leader = new Leader();
  const node = new Node(leader);
  await node.acquire('r1');
  const ended = node.endConnection();
  await node.acquire('r2');
  ended.noticeEnd();
  t.deepEqual([...leader.held].sort(), ['r1', 'r2']);
});

test('a request that ended meanwhile is not reported again', async (t) => {
  const leader = new Leader();
  const node = new Node(leader);
  await node.acquire('r1');
  node.endConnection().noticeEnd();
  node.requester.release(POOL, 'r1', 'served');
  await node.acquire('r2');
  t.deepEqual([...leader.held], ['r2']);
});
