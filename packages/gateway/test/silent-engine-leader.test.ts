/**
 * Guards against taking the silence of a leader for its death. A leader that had sent nothing for 0.4 s lost its connection
 * to the nodes that asked it, with which it freed the slots of all their running requests; those that waited there, and all
 * others whose adapter no engine was seen with, were refused, though it answered a moment later.
 */
import { VirtualClock } from '@canvasridge/clock';
import { FleetState } from '@canvasridge/serving';
import test from 'ava';
import { BackendAvailability } from '../src/backends/backend-availability.js';
import { BackendBackoffs } from '../src/backends/backend-backoffs.js';
import type { PickResult } from '../src/backends/picker.js';
import { SlotPicker } from '../src/backends/slot-picker.js';
import type { Cluster } from '../src/cluster/cluster.js';
import type { PoolEntry } from '../src/cluster/pool-entry.js';
import { SlotRequester } from '../src/cluster/slot-requester.js';
import { noRateLimits } from './no-rate-limits.js';
import { newContext } from './scarce-backends-simulation.js';
import { SERVICE, SimulatedLeader, SimulatedLink } from './simulated-leader.js';

const SILENT_MS = 1000;
/** Time for messages to arrive. */
const SETTLE_MS = 20;
/** One slot, and one request beyond it that the backend queues. */
const GRANTED = 2;
const GENERATION = { model: 'm', adapter: 'x', promptTokens: 10, promptKey: undefined };
const CLIENT = { timeoutMs: 20_000, startWithinMs: 20_000 };
const PATIENCE_MS = 6000;

/** A node that asks a leader for slots. */
class AskingNode {
  readonly clock = new VirtualClock();
  readonly leader: SimulatedLeader;
  readonly picked = new Map<string, PickResult>();
  dropped = 0;
  readonly #picker: SlotPicker;
  readonly #requester: SlotRequester;
  #link: SimulatedLink;

  constructor() {
    const { clock } = this;
    const fleet = new FleetState();
    const listed = { service: SERVICE, zone: 'a', state: 'ready', models: [] } as const;
    fleet.applyBackend(1, { id: 'e1', address: 'e1:1', slots: 1, ...listed });
    this.leader = new SimulatedLeader(clock, fleet);
    this.#link = this.#newLink();
    const rateLimits = noRateLimits(clock);
    const leadership = { leader: 'leader' };
    const entry = { leadership, leading: false, pool: undefined } as unknown as PoolEntry;
    this.#requester = new SlotRequester({
      clock,
      fleet,
      cluster: {
        selfId: 'asking',
        peerAddress: () => 'leader:1',
        checkPeer: () => undefined,
      } as unknown as Cluster,
      network: { to: () => this.#openLink(), drop: () => this.#drop() },
      rateLimits,
      rejectionLimits: { perSecond: () => undefined },
      switchedOff: new Set(),
      pools: new Map([[SERVICE, entry]]),
      entry: () => entry,
    });
    const backoffs = new BackendBackoffs(clock);
    const options = { fleet, backoffs, rateLimits, clock, hasOtherServingNodes: () => true };
    this.#picker = new SlotPicker(fleet, new BackendAvailability(options), this.#requester, clock, 'a');
  }

  /** Starts to pick an engine for a request. */
  pick(id: string, ageMs = 0, startWithinMs = CLIENT.startWithinMs): void {
    const context = { ...newContext(id), ...CLIENT, startWithinMs, generation: GENERATION, ageMs };
    void this.#picker
      .pick(context, new AbortController().signal)
      .then((result) => this.picked.set(id, result));
  }

  async pass(spanMs: number): Promise<void> {
    await this.clock.runUntil(this.clock.now() + spanMs);
  }

  /** Ends a request that was picked an engine. */
  finish(id: string): void {
    const result = this.picked.get(id);
    if (result?.kind === 'picked') result.finish('served');
  }

  kindOf(id: string): string | undefined {
    const result = this.picked.get(id);
    return result?.kind === 'none' ? result.reason : result?.kind;
  }

  #newLink(): SimulatedLink {
    return new SimulatedLink(this.clock, this.leader, (decision) => this.#requester.onDecided(decision));
  }

  #openLink(): SimulatedLink {
    if (this.#link.isCut) this.#link = this.#newLink();
    return this.#link;
  }

  #drop(): void {
    this.dropped += 1;
    this.#link.close();
  }
}

test('a leader that was silent for a second still counts what it granted before', async (t) => {
  const node = new AskingNode();
  for (const id of ['r1', 'r2']) node.pick(id);
  await node.pass(SETTLE_MS);
  t.is(node.leader.pool.describe().running, GRANTED);
  node.leader.isFrozen = true;
  node.pick('r3');
  await node.pass(SILENT_MS);
  node.leader.resume();
  await node.pass(SETTLE_MS);
  t.is(node.leader.pool.describe().running, GRANTED);
  t.is(node.kindOf('r3'), undefined);
});

test('a request that asks a leader in its silence is sent when the leader answers', async (t) => {
  const node = new AskingNode();
  node.leader.isFrozen = true;
  node.pick('r1');
  await node.pass(SILENT_MS);
  t.is(node.kindOf('r1'), undefined);
  node.leader.resume();
  await node.pass(SETTLE_MS * 10);
  t.is(node.kindOf('r1'), 'picked');
  t.is(node.leader.pool.describe().running, 1, 'what it asked for before is granted to nobody');
});

test('requests that wait at a leader are granted slots by their age after its silence', async (t) => {
  const node = new AskingNode();
  for (const id of ['r1', 'r2']) node.pick(id);
  await node.pass(SETTLE_MS);
  node.pick('younger');
  await node.pass(SETTLE_MS);
  node.pick('older', 300);
  await node.pass(SETTLE_MS);
  node.leader.isFrozen = true;
  node.pick('oldest', 600);
  await node.pass(SILENT_MS);
  node.leader.resume();
  await node.pass(SETTLE_MS * 10);
  for (const [ended, next] of [
    ['r1', 'oldest'],
    ['r2', 'older'],
    ['oldest', 'younger'],
  ] as const) {
    t.is(node.kindOf(next), undefined, next);
    node.finish(ended);
    await node.pass(SETTLE_MS);
    t.is(node.kindOf(next), 'picked', next);
  }
});

test('a request that asks a leader that stays silent is refused while its client has time to ask another node', async (t) => {
  const node = new AskingNode();
  node.leader.isFrozen = true;
  node.pick('r1', 0, PATIENCE_MS);
  await node.pass(PATIENCE_MS / 2 + SETTLE_MS);
  t.is(node.kindOf('r1'), 'no-pool-leader');
  t.is(node.dropped, 1, 'a connection over which nothing comes any more is replaced');
});

// Its adapter could be evicted, and its place in the batch be granted, while it ran.
test('a leader that goes on learns what was sent to engines in its silence', async (t) => {
  const node = new AskingNode();
  node.pick('r1');
  await node.pass(SETTLE_MS);
  node.finish('r1');
  await node.pass(SETTLE_MS);
  node.leader.isFrozen = true;
  node.pick('r2');
  await node.pass(SILENT_MS);
  t.like(node.picked.get('r2'), { kind: 'picked', how: 'seen' });
  t.is(node.leader.pool.describe().running, 0);
  node.leader.resume();
  await node.pass(SETTLE_MS);
  t.is(node.leader.pool.describe().running, 1);
  node.finish('r2');
  await node.pass(SETTLE_MS);
  t.is(node.leader.pool.describe().running, 0);
});
