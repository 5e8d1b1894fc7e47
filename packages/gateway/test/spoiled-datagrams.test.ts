/** Spoiled datagrams with a valid MAC to a running node. */
import { createHmac } from 'node:crypto';
import { createSocket } from 'node:dgram';
import { encodeMessage } from '@canvasridge/membership';
import test from 'ava';
import fc from 'fast-check';
import { ANSWER_MS, KNOWN, SEED, connectTo, spoiled, stateOf } from './spoiling-peer.js';

const MAC_BYTES = 8;
const PEER_KEY = 'k';

const spoiledText = fc.constantFrom(
  '',
  'x'.repeat(10_000),
  '127.0.0.1:70000',
  '300.0.0.1:80',
  'n1',
  '__proto__',
);
const spoiledItem = fc.oneof(
  spoiled.filter((value) => JSON.stringify(value).length < 10_000),
  spoiledText,
);
/** Updates of all kinds that are known, and of others, with any content. */
const spoiledUpdate = fc.oneof(
  fc
    .tuple(fc.integer({ min: -1, max: 5 }), fc.array(spoiledItem, { maxLength: 11 }))
    .map(([code, rest]) => [code, ...rest]),
  fc
    .tuple(spoiledText, spoiledText)
    .map(([id, address]) => [1, id, 1, 0, 'a', 'r', address, address, address, 'p', 1]),
);
const spoiledMessage = fc
  .record({
    kind: fc.constantFrom(
      'ping',
      'ack',
      'ping-request',
      'gossip',
      'join',
      'digest',
      'versions',
      'state',
      'later',
    ),
    sender: fc.constantFrom('n1', 'n9', ''),
    revision: fc.nat(),
    sequence: fc.nat(),
    target: fc.constantFrom('', '127.0.0.1:9', '127.0.0.1:0'),
    updates: fc.array(spoiledUpdate, { maxLength: 4 }),
  })
  .map((message) => encodeMessage(message as never));
const spoiledBytes = fc.oneof(spoiledMessage, fc.uint8Array({ minLength: 1, maxLength: 200 }));

// Guards against a node that ends, or takes over members that can't be reached, by a datagram with a valid MAC.
test('a node runs on and names no unusable address after spoiled datagrams', async (t) => {
  const { node, peerPort, connection } = await connectTo(t);
  const { clients, configuration, ...before } = stateOf(node);
  const sender = createSocket('udp4');
  t.teardown(() => sender.close());
  const send = (bytes: Uint8Array): Promise<void> => {
    const mac = createHmac('sha256', PEER_KEY).update(bytes).digest().subarray(0, MAC_BYTES);
    return new Promise((resolve) => sender.send([bytes, mac], peerPort, '127.0.0.1', () => resolve()));
  };
  await fc.assert(
    fc.asyncProperty(spoiledBytes, async (bytes) => {
      await send(bytes);
      t.not(await connection.call('fleet.follow', KNOWN, ANSWER_MS), undefined);
    }),
    { seed: SEED, numRuns: 300 },
  );
  const after = stateOf(node);
  t.like(after, before);
  t.is(after.configuration, configuration);
  t.deepEqual(after.clients, clients);
});
