import test from 'ava';
import fc from 'fast-check';
import { Random, VirtualClock } from '@canvasridge/clock';
import { Telemetry } from '@canvasridge/telemetry';
import { Membership, decodeMessage, encodeMessage, type DatagramTransport } from '../src/index.js';

test('no bytes make the decoder throw', (t) => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 400 }), (bytes) => {
      decodeMessage(bytes);
      return true;
    }),
    { seed: 1, numRuns: 2000 },
  );
  t.pass();
});

test('messages that were damaged on the way are dropped or still well-formed', (t) => {
  const message = {
    kind: 'ping',
    sender: 'a',
    revision: 1,
    sequence: 2,
    target: '',
    updates: [[0, 'b', 1, 1, 5]],
  } as const;
  const bytes = encodeMessage(message);
  t.deepEqual(decodeMessage(bytes)?.message, { ...message, updates: [[0, 'b', 1, 1, 5]] });
  fc.assert(
    fc.property(fc.nat(bytes.length - 1), fc.nat(255), (at, value) => {
      const damaged = Uint8Array.from(bytes);
      damaged[at] = value;
      const decoded = decodeMessage(damaged);
      return decoded === undefined || Array.isArray(decoded.updates);
    }),
    { seed: 1 },
  );
});

/** Members on one virtual wire, which can be cut for some of them. */
class Wire {
  readonly clock = new VirtualClock();
  readonly cut = new Set<string>();
  readonly #receivers = new Map<string, (from: string, bytes: Uint8Array) => void>();

  transport(address: string): DatagramTransport {
    return {
      localAddress: address,
      send: (to, bytes) => {
        if (this.cut.has(address) || this.cut.has(to)) return;
        this.clock.setTimer(1, () => this.#receivers.get(to)?.(address, bytes));
      },
      onMessage: (receiver) => this.#receivers.set(address, receiver),
      close: () => this.#receivers.delete(address),
    };
  }

  member(id: string, seeds: readonly string[], token = 'first'): Membership {
    const identity = {
      id,
      zone: 'z',
      region: 'r',
      gossip: id,
      peerUrl: '',
      callerUrl: '',
      capacity: 0,
      processToken: token,
    };
    const membership = new Membership({
      identity,
      transport: this.transport(id),
      clock: this.clock,
      random: Random.derive(1, id + token),
      telemetry: new Telemetry({ processName: id, clock: this.clock }),
      events: {},
      seeds: () => seeds,
      revision: () => 0,
    });
    membership.start();
    return membership;
  }
}

const NAMES = ['a', 'b', 'c', 'd', 'e', 'f'] as const;

async function startAll(wire: Wire): Promise<Map<string, Membership>> {
  const members = new Map(NAMES.map((name) => [name as string, wire.member(name, [...NAMES])]));
  await wire.clock.runUntil(10_000);
  return members;
}

function stateOf(members: ReadonlyMap<string, Membership>, observer: string, id: string): string | undefined {
  return members.get(observer)?.get(id)?.state;
}

test('members that start together all learn of each other', async (t) => {
  const members = await startAll(new Wire());
  for (const member of members.values()) t.is(member.present().length, NAMES.length);
});

test('a crash is known everywhere within ten seconds', async (t) => {
  const wire = new Wire();
  const members = await startAll(wire);
  members.get('a')?.stop();
  await wire.clock.runUntil(20_000);
  for (const name of NAMES.slice(1)) t.is(stateOf(members, name, 'a'), 'dead');
});

test('a member that was cut off is taken in again when the wire heals', async (t) => {
  const wire = new Wire();
  const members = await startAll(wire);
  wire.cut.add('b');
  await wire.clock.runUntil(30_000);
  t.is(stateOf(members, 'a', 'b'), 'dead');
  wire.cut.delete('b');
  await wire.clock.runUntil(60_000);
  for (const name of NAMES) t.is(stateOf(members, name, 'b'), 'alive');
});

test('a member that is asked after a cut is taken in at once, and what both missed is compared', async (t) => {
  const wire = new Wire();
  const members = await startAll(wire);
  wire.cut.add('b');
  await wire.clock.runUntil(30_000);
  members.get('a')?.publish('key', 'news');
  await wire.clock.runUntil(40_000);
  wire.cut.delete('b');
  const answered = members.get('b')?.inReach(['a', 'c'], 300) ?? Promise.resolve([]);
  await wire.clock.runUntil(40_100);
  t.deepEqual(await answered, ['a', 'c']);
  for (const id of ['a', 'c']) t.is(stateOf(members, 'b', id), 'alive');
  members.get('b')?.compareWith(['a']);
  await wire.clock.runUntil(40_200);
  const values = [...(members.get('b')?.recordsOf('a') ?? [])].map(({ value }) => value);
  t.deepEqual(values, ['news']);
});

test('a restarted member learns of all others, and they of its new process', async (t) => {
  const wire = new Wire();
  const members = await startAll(wire);
  members.get('c')?.stop();
  await wire.clock.runUntil(25_000);
  const restarted = wire.member('c', [...NAMES], 'second');
  await wire.clock.runUntil(45_000);
  t.is(restarted.present().length, NAMES.length);
  t.is(members.get('a')?.get('c')?.processToken, 'second');
});

test('a drain and a departure are known everywhere within five seconds', async (t) => {
  const wire = new Wire();
  const members = await startAll(wire);
  members.get('d')?.drain();
  await wire.clock.runUntil(15_000);
  for (const name of NAMES) t.is(stateOf(members, name, 'd'), 'draining');
  members.get('d')?.leave();
  await wire.clock.runUntil(20_000);
  for (const name of NAMES.slice(0, 3)) t.is(stateOf(members, name, 'd'), 'left');
});

test('a record reaches every member, and the newest value holds', async (t) => {
  const wire = new Wire();
  const members = await startAll(wire);
  members.get('a')?.publish('k', 1);
  members.get('a')?.publish('k', 2);
  await wire.clock.runUntil(60_000);
  for (const member of members.values()) t.is([...member.recordsOf('a')][0]?.value, 2);
});
