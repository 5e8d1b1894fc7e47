import { socketAddress } from '@canvasridge/addresses';
import { VirtualClock } from '@canvasridge/clock';
import type { SlotDecision, SlotRequest } from '@canvasridge/slots';
import { EventLogger, Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import { CANCEL_METHOD } from '../src/cluster/slot-protocol.js';
import { RemoteSlots, type LeaderConnection } from '../src/index.js';
import { UnreadLog } from '../src/peers/unread-log.js';

const LEADER = socketAddress('10.0.0.1:1');

/** A leader that queues every request. */
class QueueingLeader implements LeaderConnection {
  readonly notified: string[] = [];
  received = 0;
  answers = true;
  readonly #listeners = new Set<() => void>();

  call = (): Promise<unknown> =>
    this.answers ? Promise.resolve({ kind: 'queued' }) : new Promise(() => undefined);

  notify(method: string): void {
    this.notified.push(method);
  }

  onClosed(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  close(): void {
    for (const listener of [...this.#listeners]) listener();
  }
}

const REQUEST: SlotRequest = {
  id: 'r1',
  model: 'base',
  adapter: 'a',
  priority: 0,
  tenant: undefined,
  objectiveMs: 1000,
  ageMs: 0,
  timeoutMs: 5000,
  startWithinMs: 5000,
  excluded: [],
  promptTokens: 10,
  traceId: 't1',
  promptKey: undefined,
};

async function ask(): Promise<{
  leader: QueueingLeader;
  slots: RemoteSlots;
  decisions: (SlotDecision | undefined)[];
  settle: () => Promise<void>;
}> {
  const clock = new VirtualClock();
  const leader = new QueueingLeader();
  const slots = new RemoteSlots(clock, { to: () => leader, drop: () => undefined }, () => undefined);
  const decisions: (SlotDecision | undefined)[] = [];
  void slots
    .acquire(LEADER, 'llm', REQUEST, new AbortController().signal)
    .then((decision) => decisions.push(decision));
  const settle = (): Promise<void> => clock.runUntil(clock.now() + 1);
  await settle();
  return { leader, slots, decisions, settle };
}

test('a request queued at a leader whose connection ends is told to ask again', async (t) => {
  const { leader, decisions, settle } = await ask();
  t.deepEqual(decisions, []);
  leader.close();
  await settle();
  t.like(decisions[0], { kind: 'refused', reason: 'stopping' });
});

test('a request queued at a leader that was replaced is cancelled there and told to ask again', async (t) => {
  const { leader, slots, decisions, settle } = await ask();
  slots.leaderChanged('llm', LEADER);
  await settle();
  t.deepEqual(decisions, []);
  slots.leaderChanged('llm', socketAddress('10.0.0.2:1'));
  await settle();
  t.like(decisions[0], { kind: 'refused', reason: 'stopping' });
  t.is(leader.notified.length, 1);
});

test('a decision of the leader ends the wait once', async (t) => {
  const { leader, slots, decisions, settle } = await ask();
  slots.onDecided({
    kind: 'granted',
    requestId: 'r1',
    backendId: 'e1',
    address: socketAddress('10.0.1.1:1'),
  });
  leader.close();
  await settle();
  t.is(decisions.length, 1);
  t.like(decisions[0], { kind: 'granted' });
});

for (const { name, received, drops } of [
  { name: 'the connection to a leader that sends nothing is dropped', received: 0, drops: 1 },
  { name: 'the connection to a slow leader that sends other messages is kept', received: 3, drops: 0 },
]) {
  test(name, async (t) => {
    const clock = new VirtualClock();
    const leader = new QueueingLeader();
    leader.answers = false;
    const dropped: string[] = [];
    const slots = new RemoteSlots(
      clock,
      { to: () => leader, drop: (address) => dropped.push(address) },
      () => undefined,
    );
    void slots.acquire(LEADER, 'llm', REQUEST, new AbortController().signal);
    leader.received = received;
    await clock.runUntil(1000);
    t.is(dropped.length, drops);
  });
}

/** Grants and answers of another form, as a node of another build may send them. */
const SPOILED_GRANT = { kind: 'granted', requestId: 'r1', backendId: 'e1', address: '127.0.0.1:70000' };
const SPOILED_ANSWERS: readonly unknown[] = [
  { kind: 'decided', decision: SPOILED_GRANT },
  { kind: 'decided', decision: { ...SPOILED_GRANT, address: '10.0.0.1:1', ratePerSecond: 'x' } },
  { kind: 'decided' },
  { kind: 'later' },
  null,
  7,
];

for (const way of ['acquire', 'acquireUnlessSilent'] as const) {
  // Guards against an address of an earlier build that ends the request, and against a slot that nobody gives back.
  test(`an answer of another form to ${way} counts as none, and its slot is given back`, async (t) => {
    for (const answer of SPOILED_ANSWERS) {
      const clock = new VirtualClock();
      const leader = new QueueingLeader();
      leader.call = () => Promise.resolve(answer);
      const lines: string[] = [];
      const logger = new EventLogger('test', 'info', (line) => lines.push(line));
      const log = new UnreadLog(new Telemetry({ processName: 'test', clock, logger }));
      const network = { to: () => leader, drop: () => undefined };
      const slots = new RemoteSlots(clock, network, () => undefined, log);
      const { signal } = new AbortController();
      const asked =
        way === 'acquire'
          ? slots.acquire(LEADER, 'llm', REQUEST, signal)
          : slots.acquireUnlessSilent(LEADER, 'llm', REQUEST, signal, 100);
      await clock.runUntil(10);
      t.is(await asked, undefined);
      t.deepEqual(leader.notified, [CANCEL_METHOD], JSON.stringify(answer));
      t.is(lines.filter((line) => line.includes('peer.answer-unread')).length, 1);
    }
  });
}

// Guards against the same in the decision on a queued request.
test('a decision of another form counts as none, and its slot is given back', async (t) => {
  for (const spoiled of [SPOILED_GRANT, { requestId: 'r1' }]) {
    const { leader, slots, decisions, settle } = await ask();
    slots.onDecided(spoiled);
    await settle();
    t.deepEqual([decisions, leader.notified], [[undefined], [CANCEL_METHOD]]);
    for (const nobodys of [null, 7, [], {}, { requestId: {} }, { requestId: 'r2' }])
      t.notThrows(() => slots.onDecided(nobodys));
  }
});
