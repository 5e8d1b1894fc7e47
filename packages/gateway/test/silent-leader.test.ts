import { socketAddress } from '@canvasridge/addresses';
import { VirtualClock } from '@canvasridge/clock';
import type { PoolRequest, SlotDecision } from '@canvasridge/slots';
import test from 'ava';
import { RemoteSlots, type LeaderConnection } from '../src/index.js';

const LEADER = socketAddress('10.0.0.1:1');
const ANSWER_WITHIN_MS = 50;

const REQUEST: PoolRequest = {
  id: 'r1',
  traceId: 't1',
  priority: 0,
  tenant: undefined,
  objectiveMs: 400,
  ageMs: 0,
  timeoutMs: 2000,
  startWithinMs: 4000,
  excluded: [],
};

/** A leader of plain backends that answers each call as it is set to. */
class Leader implements LeaderConnection {
  readonly received = 0;
  readonly sent: string[] = [];
  reply: unknown = { kind: 'queued' };
  isSilent = false;
  whileAsked: () => void = () => undefined;

  constructor(readonly clock: VirtualClock) {}

  async call(method: string, _params: unknown, timeoutMs: number): Promise<unknown> {
    this.sent.push(method);
    this.whileAsked();
    if (!this.isSilent) return this.reply;
    await this.clock.sleep(timeoutMs);
    return undefined;
  }

  notify(method: string): void {
    this.sent.push(method);
  }

  onClosed(): () => void {
    return () => undefined;
  }
}

function newSetup(): {
  clock: VirtualClock;
  leader: Leader;
  slots: RemoteSlots;
  decisions: (SlotDecision | undefined)[];
  ask: (cancelled?: AbortSignal) => void;
} {
  const clock = new VirtualClock();
  const leader = new Leader(clock);
  const slots = new RemoteSlots(clock, { to: () => leader, drop: () => undefined }, () => undefined);
  const decisions: (SlotDecision | undefined)[] = [];
  const ask = (cancelled = new AbortController().signal): void => {
    void slots
      .acquireUnlessSilent(LEADER, 'ledger', REQUEST, cancelled, ANSWER_WITHIN_MS)
      .then((decision) => decisions.push(decision));
  };
  return { clock, leader, slots, decisions, ask };
}

test('A request is withdrawn from a leader that does not answer, which is not asked for a while', async (t) => {
  const { clock, leader, decisions, ask } = newSetup();
  leader.isSilent = true;
  ask();
  await clock.runUntil(ANSWER_WITHIN_MS + 1);
  t.deepEqual(decisions, [undefined]);
  t.deepEqual(leader.sent, ['slots.acquire', 'slots.cancel']);
  ask();
  await clock.runUntil(200);
  t.deepEqual(decisions, [undefined, undefined]);
  t.is(leader.sent.length, 2);
  leader.isSilent = false;
  await clock.runUntil(500);
  ask();
  await clock.runUntil(501);
  t.is(leader.sent.at(-1), 'slots.acquire');
});

test('A leader that freezes while a request is queued there is noticed before the request times out', async (t) => {
  const { clock, leader, decisions, ask } = newSetup();
  ask();
  await clock.runUntil(10);
  leader.isSilent = true;
  await clock.runUntil(ANSWER_WITHIN_MS * 3 + 20);
  t.deepEqual(decisions, [undefined]);
  t.is(leader.sent.at(-1), 'slots.cancel');
});

test('A request that is queued waits as long as its leader answers, and takes its decision', async (t) => {
  const { clock, leader, slots, decisions, ask } = newSetup();
  ask();
  await clock.runUntil(1000);
  t.deepEqual(decisions, []);
  slots.onDecided({ kind: 'granted', requestId: 'r1', backendId: 'a', address: socketAddress('10.0.0.1:1') });
  await clock.runUntil(1001);
  t.like(decisions[0], { kind: 'granted' });
  t.false(leader.sent.includes('slots.cancel'));
});

test('A node that does not lead grants nothing, and is asked again', async (t) => {
  const { clock, leader, decisions, ask } = newSetup();
  leader.reply = { kind: 'not-leader' };
  ask();
  await clock.runUntil(1);
  ask();
  await clock.runUntil(2);
  t.deepEqual(decisions, [undefined, undefined]);
  t.deepEqual(leader.sent, ['slots.acquire', 'slots.acquire']);
});

test('A request whose client left is withdrawn', async (t) => {
  const { clock, leader, ask } = newSetup();
  const client = new AbortController();
  ask(client.signal);
  await clock.runUntil(5);
  client.abort();
  await clock.runUntil(6);
  t.true(leader.sent.includes('slots.cancel'));
});

test('A grant to a request that asked again while it was refused is given back', async (t) => {
  const { clock, leader, slots, decisions, ask } = newSetup();
  ask();
  await clock.runUntil(10);
  leader.whileAsked = () => {
    slots.onDecided({ kind: 'refused', requestId: 'r1', reason: 'no-slot-in-time', retryAfterMs: 70 });
    const decision: SlotDecision = {
      kind: 'granted',
      requestId: 'r1',
      backendId: 'a',
      address: socketAddress('10.0.0.1:1'),
    };
    leader.reply = { kind: 'decided', decision };
  };
  await clock.runUntil(ANSWER_WITHIN_MS * 3);
  t.like(decisions[0], { kind: 'refused' });
  t.is(leader.sent.at(-1), 'slots.cancel');
});
