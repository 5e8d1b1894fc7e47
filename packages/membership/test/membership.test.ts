import test from 'ava';
import fc from 'fast-check';
import { Random, VirtualClock } from '@canvasridge/clock';
import { Telemetry } from '@canvasridge/telemetry';
import { Membership, decodeMessage, encodeMessage, type DatagramTransport } from '../src/index.js';

test('the decoder never throws, whatever the bytes', (t) => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 400 }), (bytes) => {
      decodeMessage(bytes);
      return true;
    }),
    { seed: 1, numRuns: 2000 },
  );
  t.pass();
});

test('a message with a corrupted byte is dropped or decoded to a well-formed message', (t) => {
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
    fc.property(fc.nat(bytes.length - 1), fc.nat(255), (position, value) => {
      const damaged = Uint8Array.from(bytes);
      damaged[position] = value;
      const decoded = decodeMessage(damaged);
      return decoded === undefined || Array.isArray(decoded.updates);
    }),
    { seed: 1 },
  );
});

/** Simulated network of members on a virtual clock. Members can be disconnected from it. */
class SimulatedNetwork {
  readonly clock = new VirtualClock();
  readonly disconnected = new Set<string>();
  /** Number of messages sent, by kind. */
  readonly sentKinds = new Map<string, number>();
  readonly #receivers = new Map<string, (from: string, bytes: Uint8Array) => void>();

  transport(address: string): DatagramTransport {
    return {
      localAddress: address,
      send: (to, bytes) => {
        const kind = decodeMessage(bytes)?.message.kind ?? 'none';
        this.sentKinds.set(kind, (this.sentKinds.get(kind) ?? 0) + 1);
        if (this.disconnected.has(address) || this.disconnected.has(to)) return;
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

async function startAll(network: SimulatedNetwork): Promise<Map<string, Membership>> {
  const members = new Map(NAMES.map((name) => [name as string, network.member(name, [...NAMES])]));
  await network.clock.runUntil(10_000);
  return members;
}

function stateOf(members: ReadonlyMap<string, Membership>, observer: string, id: string): string | undefined {
  return members.get(observer)?.get(id)?.state;
}

test('members that start at the same time all discover each other', async (t) => {
  const members = await startAll(new SimulatedNetwork());
  for (const member of members.values()) t.is(member.present().length, NAMES.length);
});

test('all members detect a crash within ten seconds', async (t) => {
  const network = new SimulatedNetwork();
  const members = await startAll(network);
  members.get('a')?.stop();
  await network.clock.runUntil(20_000);
  for (const name of NAMES.slice(1)) t.is(stateOf(members, name, 'a'), 'dead');
});

test('a disconnected member is alive for all others again after it reconnects', async (t) => {
  const network = new SimulatedNetwork();
  const members = await startAll(network);
  network.disconnected.add('b');
  await network.clock.runUntil(30_000);
  t.is(stateOf(members, 'a', 'b'), 'dead');
  network.disconnected.delete('b');
  await network.clock.runUntil(60_000);
  for (const name of NAMES) t.is(stateOf(members, name, 'b'), 'alive');
});

test('a member pinged after a disconnection is alive immediately, and a comparison delivers missed records', async (t) => {
  const network = new SimulatedNetwork();
  const members = await startAll(network);
  network.disconnected.add('b');
  await network.clock.runUntil(30_000);
  members.get('a')?.publish('key', 'news');
  await network.clock.runUntil(40_000);
  network.disconnected.delete('b');
  const answered = members.get('b')?.findReachable(['a', 'c'], 300) ?? Promise.resolve([]);
  await network.clock.runUntil(40_100);
  t.deepEqual(await answered, ['a', 'c']);
  for (const id of ['a', 'c']) t.is(stateOf(members, 'b', id), 'alive');
  members.get('b')?.startComparisonWith(['a']);
  await network.clock.runUntil(40_200);
  const values = [...(members.get('b')?.recordsOf('a') ?? [])].map(({ value }) => value);
  t.deepEqual(values, ['news']);
});

test('a restarted member discovers all others, and they learn of its new process', async (t) => {
  const network = new SimulatedNetwork();
  const members = await startAll(network);
  members.get('c')?.stop();
  await network.clock.runUntil(25_000);
  const restarted = network.member('c', [...NAMES], 'second');
  await network.clock.runUntil(45_000);
  t.is(restarted.present().length, NAMES.length);
  t.is(members.get('a')?.get('c')?.processToken, 'second');
});

test('members learn of a drain and of a departure within five seconds', async (t) => {
  const network = new SimulatedNetwork();
  const members = await startAll(network);
  members.get('d')?.drain();
  await network.clock.runUntil(15_000);
  for (const name of NAMES) t.is(stateOf(members, name, 'd'), 'draining');
  members.get('d')?.leave();
  await network.clock.runUntil(20_000);
  for (const name of NAMES.slice(0, 3)) t.is(stateOf(members, name, 'd'), 'left');
});

test('a record reaches every member, and its newest value takes precedence', async (t) => {
  const network = new SimulatedNetwork();
  const members = await startAll(network);
  members.get('a')?.publish('k', 1);
  members.get('a')?.publish('k', 2);
  await network.clock.runUntil(60_000);
  for (const member of members.values()) t.is([...member.recordsOf('a')][0]?.value, 2);
});

/*
 * Seen in production: on a calm day the leader of a pool was replaced, and no adapter could be loaded for a lease. The
 * new leader had never received the other's claim, but a later record of it, and so did not count as behind.
 */
test('a record that a member missed reaches it although it received a later one of the same owner', async (t) => {
  const network = new SimulatedNetwork();
  const members = await startAll(network);
  network.disconnected.add('f');
  members.get('a')?.publish('first', 1);
  await network.clock.runUntil(12_000);
  network.disconnected.delete('f');
  members.get('a')?.publish('second', 2);
  await network.clock.runUntil(15_000);
  const keys = (): string[] => [...(members.get('f')?.recordsOf('a') ?? [])].map(({ key }) => key).sort();
  t.deepEqual(keys(), ['second'], 'it missed the first and received the second');
  await network.clock.runUntil(200_000);
  t.deepEqual(keys(), ['first', 'second']);
});

// Guards against comparing state without end because a restarted member lacks a record of its previous process.
test('members with the same records exchange no versions, also after a restart', async (t) => {
  const network = new SimulatedNetwork();
  const members = await startAll(network);
  members.get('c')?.publish('kept', 1);
  await network.clock.runUntil(15_000);
  members.get('c')?.stop();
  network.member('c', [...NAMES], 'second').publish('new', 2);
  await network.clock.runUntil(200_000);
  network.sentKinds.clear();
  await network.clock.runUntil(600_000);
  t.true((network.sentKinds.get('digest') ?? 0) > 20);
  t.is(network.sentKinds.get('versions') ?? 0, 0);
});
