/**
 * Datagrams with content of a later build: unknown parts are skipped individually, and the rest of the
 * datagram is still processed.
 */
import fc from 'fast-check';
import test from 'ava';
import { Random, VirtualClock } from '@canvasridge/clock';
import { Telemetry } from '@canvasridge/telemetry';
import { pack } from 'msgpackr';
import { Membership, decodeMessage, type DatagramTransport } from '../src/index.js';

const KNOWN_UPDATE = [0, 'b', 1, 1, 5];

function datagram(
  updates: readonly unknown[],
  kind = 'gossip',
  extraElements: readonly unknown[] = [],
): Uint8Array {
  return pack([kind, 'a', 1, 2, '', updates, ...extraElements]);
}

test('an unknown update is skipped, and the other updates of the message are decoded', (t) => {
  for (const unknown of [[9, 'x'], [0, 'b'], 'text', null, { code: 1 }, [], [2, 'b', 'k', -1, {}]]) {
    const decoded = decodeMessage(datagram([KNOWN_UPDATE, unknown, KNOWN_UPDATE]));
    t.is(decoded?.updates.length, 2, JSON.stringify(unknown));
    t.is(decoded?.unrecognisedCount, 1);
  }
});

test('additional elements at the end of updates and messages are ignored', (t) => {
  const decoded = decodeMessage(datagram([[...KNOWN_UPDATE, 'later', 7]], 'ping', [{ level: 2 }]));
  t.is(decoded?.unrecognisedCount, 0);
  t.like(decoded?.message, { kind: 'ping', sender: 'a', sequence: 2 });
  t.like(decoded?.updates[0], { kind: 'member-state', id: 'b', suspicionAgeMs: 5 });
});

test('a message of unknown kind is decoded as gossip with its updates', (t) => {
  const decoded = decodeMessage(datagram([KNOWN_UPDATE], 'later-kind'));
  t.like(decoded, { unrecognisedCount: 1, message: { kind: 'gossip' } });
  t.is(decoded?.updates.length, 1);
});

test('an intact update is decoded whatever the other updates contain', (t) => {
  const junk = fc.oneof(fc.anything(), fc.array(fc.anything(), { maxLength: 12 }));
  fc.assert(
    fc.property(fc.array(junk, { maxLength: 6 }), fc.nat(6), (otherUpdates, position) => {
      const updates = [...otherUpdates.slice(0, position), KNOWN_UPDATE, ...otherUpdates.slice(position)];
      const decoded = decodeMessage(datagram(updates));
      return (
        decoded === undefined ||
        decoded.updates.some((update) => update.kind === 'member-state' && update.id === 'b')
      );
    }),
    { seed: 1, numRuns: 500 },
  );
  t.pass();
});

test('a member applies updates received with unknown ones, and logs the unknown ones once', async (t) => {
  const clock = new VirtualClock();
  const loggedEvents: string[] = [];
  let receive: (from: string, bytes: Uint8Array) => void = () => undefined;
  const transport: DatagramTransport = {
    localAddress: 'me:1',
    send: () => undefined,
    onMessage: (receiver) => {
      receive = receiver;
    },
    close: () => undefined,
  };
  const telemetry = new Telemetry({ processName: 'me', clock });
  telemetry.event = (_level, name) => loggedEvents.push(name);
  const member = new Membership({
    identity: {
      id: 'me',
      zone: 'a',
      region: 'r',
      gossip: 'me:1',
      peerUrl: 'me:1',
      callerUrl: 'me:2',
      processToken: 't',
      capacity: 1,
    },
    transport,
    clock,
    random: new Random(1),
    telemetry,
    events: {},
    seeds: () => [],
    revision: () => 0,
  });
  member.start();
  const other = [1, 'b', 1, 0, 'a', 'r', 'b:1', 'b:1', 'b:2', 'token', 1];
  for (let index = 0; index < 3; index += 1) receive('b:1', datagram([[9, 'later'], other]));
  await clock.runUntil(10);
  t.is(member.get('b')?.processToken, 'token');
  t.is(loggedEvents.filter((name) => name === 'membership.unread').length, 1);
  member.stop();
});
