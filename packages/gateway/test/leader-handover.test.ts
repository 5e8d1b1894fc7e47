/**
 * Guards against requests that are refused, and streams that are cut at their second attempt, because their pool changes
 * its leader just then: they were told of no leader although the next one was elected a moment later.
 */
import { VirtualClock } from '@canvasridge/clock';
import { FleetState } from '@canvasridge/serving';
import type { SlotDecision, SlotRequest } from '@canvasridge/slots';
import test from 'ava';
import type { Cluster } from '../src/cluster/cluster.js';
import type { PoolEntry } from '../src/cluster/pool-entry.js';
import type { LeaderConnection } from '../src/cluster/remote-slots.js';
import { SlotRequester } from '../src/cluster/slot-requester.js';
import { noRateLimits } from './no-rate-limits.js';
import { addressOf, idAt } from './peer-addresses.js';

const POOL = 'llm';
const OBJECTIVE_MS = 1000;
/** From the moment at which the leader gives up the pool; longer than the news of a change takes to reach most nodes. */
const NEXT_LEADER_AFTER_MS = 500;

const REQUEST: SlotRequest = {
  id: 'r1',
  model: 'base',
  adapter: 'a',
  priority: 0,
  tenant: undefined,
  objectiveMs: OBJECTIVE_MS,
  ageMs: 0,
  timeoutMs: 20_000,
  startWithinMs: 4000,
  excluded: [],
  promptTokens: 10,
  traceId: 't1',
  promptKey: undefined,
};
/** A stream whose client has received events. */
const CONTINUED: SlotRequest = { ...REQUEST, ageMs: 5000, startWithinMs: 9000, isContinued: true };

/** A node that is asked for slots: it queues requests, grants them at once, or does not lead the pool. */
class Node implements LeaderConnection {
  readonly received = 1;
  asked = 0;

  constructor(public reply: 'queued' | 'granted' | 'not-leader') {}

  call(): Promise<unknown> {
    this.asked += 1;
    const decision = { kind: 'granted', requestId: 'r1', backendId: 'e1', address: '10.0.1.1:1' };
    return Promise.resolve(this.reply === 'granted' ? { kind: 'decided', decision } : { kind: this.reply });
  }

  notify(): void {
    return;
  }

  onClosed(): () => void {
    return () => undefined;
  }
}

class Handover {
  readonly clock = new VirtualClock();
  readonly former = new Node('queued');
  readonly next = new Node('granted');
  readonly decisions: (SlotDecision | undefined)[] = [];
  readonly requester: SlotRequester;
  leader: 'former' | 'next' | undefined = 'former';

  constructor() {
    const leader = (): string | undefined => this.leader;
    const leadership = {
      get leader(): string | undefined {
        return leader();
      },
    };
    const entry = { leadership, leading: false, pool: undefined } as unknown as PoolEntry;
    this.requester = new SlotRequester({
      clock: this.clock,
      fleet: new FleetState(),
      cluster: {
        peerAddress: addressOf,
        checkPeer: () => undefined,
      } as unknown as Cluster,
      network: {
        to: (address) => (idAt(address) === 'former' ? this.former : this.next),
        drop: () => undefined,
      },
      rateLimits: noRateLimits(this.clock),
      rejectionLimits: { perSecond: () => undefined },
      switchedOff: new Set(),
      pools: new Map([[POOL, entry]]),
      entry: () => entry,
    });
  }

  ask(request: SlotRequest): void {
    void this.requester
      .acquire(POOL, request, new AbortController().signal)
      .then((decision) => this.decisions.push(decision));
  }

  /** The leader gives up the pool, as at a planned stop of its node, and refuses what waits. */
  giveUp(): void {
    this.former.reply = 'not-leader';
    this.requester.onDecided({ kind: 'refused', requestId: 'r1', reason: 'stopping', retryAfterMs: 0 });
  }

  /** This node learns of another leader, or of none. */
  follow(leader: 'next' | undefined): void {
    this.leader = leader;
    this.requester.handleLeaderChange(POOL, leader);
  }
}

test('a request that waits at a leader which gives up the pool gets its slot from the next one', async (t) => {
  const handover = new Handover();
  handover.ask(REQUEST);
  await handover.clock.runUntil(100);
  handover.giveUp();
  await handover.clock.runUntil(100 + NEXT_LEADER_AFTER_MS);
  t.deepEqual(handover.decisions, []);
  handover.follow('next');
  await handover.clock.runUntil(2000);
  t.like(handover.decisions[0], { kind: 'granted' });
});

test('a request for which the former leader is asked gets its slot from the next one', async (t) => {
  const handover = new Handover();
  handover.giveUp();
  handover.ask(REQUEST);
  await handover.clock.runUntil(NEXT_LEADER_AFTER_MS);
  t.deepEqual(handover.decisions, []);
  handover.follow('next');
  await handover.clock.runUntil(2000);
  t.like(handover.decisions[0], { kind: 'granted' });
});

test('a stream that goes on waits for the next leader, whatever its age', async (t) => {
  const handover = new Handover();
  handover.follow(undefined);
  handover.ask(CONTINUED);
  await handover.clock.runUntil(NEXT_LEADER_AFTER_MS);
  t.deepEqual(handover.decisions, []);
  handover.follow('next');
  await handover.clock.runUntil(2000);
  t.like(handover.decisions[0], { kind: 'granted' });
});

test('a request that can no longer start in time does not wait for the next leader', async (t) => {
  const handover = new Handover();
  handover.follow(undefined);
  handover.ask({ ...REQUEST, ageMs: OBJECTIVE_MS });
  await handover.clock.runUntil(1);
  t.deepEqual(handover.decisions, [undefined]);
});

test('without a next leader the wait ends, so that the request may go to an engine without one', async (t) => {
  const handover = new Handover();
  handover.ask(CONTINUED);
  await handover.clock.runUntil(100);
  handover.giveUp();
  await handover.clock.runUntil(2000);
  t.deepEqual(handover.decisions, [undefined]);
  t.true(handover.former.asked < 20);
});
