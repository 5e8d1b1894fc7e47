/** Updates that can be decoded but not encoded or refuted: they are passed over, and the membership goes on. */
import { Random, VirtualClock } from '@canvasridge/clock';
import { Telemetry } from '@canvasridge/telemetry';
import { pack } from 'msgpackr';
import test from 'ava';
import { Membership, decodeMessage, encodeMessage, type DatagramTransport } from '../src/index.js';

/** More levels than the encoder can follow on the stack. */
const DEPTH = 2500;
const ARRAY_OF_ONE = 0x91;
const NIL = 0xc0;

interface Node {
  readonly receive: (bytes: Uint8Array) => void;
  readonly sent: Uint8Array[];
}

function startNode(): Node {
  const clock = new VirtualClock();
  let receive: (from: string, bytes: Uint8Array) => void = () => undefined;
  const sent: Uint8Array[] = [];
  const transport: DatagramTransport = {
    localAddress: 'a',
    send: (_, bytes) => sent.push(bytes),
    onMessage: (receiver) => (receive = receiver),
    close: () => undefined,
  };
  const identity = { id: 'a', zone: 'z', region: 'r', gossip: 'a', peerUrl: '', callerUrl: '', capacity: 0 };
  new Membership({
    identity: { ...identity, processToken: 'first' },
    transport,
    clock,
    random: new Random(1),
    telemetry: new Telemetry({ processName: 'a', clock }),
    events: {},
    seeds: () => [],
    revision: () => 0,
  });
  return { receive: (bytes) => receive('b:1', bytes), sent };
}

/** Whether the node tells a node that joins who it is, in a message that others can read. */
function answersJoin({ receive, sent }: Node): boolean {
  sent.length = 0;
  const join = { kind: 'join', sender: 'c', revision: 0, sequence: 0, target: '', updates: [] } as const;
  receive(encodeMessage(join));
  return sent.some(
    (bytes) =>
      decodeMessage(bytes)?.updates.some(({ kind, ...update }) => {
        const { identity } = update as { identity?: { id: string } };
        return kind === 'member' && identity?.id === 'a';
      }) === true,
  );
}

// Such a record was kept, and each later message with it could not be encoded: nobody could join at that node any more.
test('a record that is nested too deeply to be encoded is passed over', (t) => {
  const node = startNode();
  const head = pack(['gossip', 'b', 0, 0, '', [[2, 'b', 'k', 1, null]]]);
  const value = Buffer.alloc(DEPTH + 1, ARRAY_OF_ONE);
  value[DEPTH] = NIL;
  t.is(head.at(-1), NIL);
  node.receive(Buffer.concat([head.subarray(0, -1), value]));
  t.true(answersJoin(node));
});

// The node refuted it with a number that no other node accepts.
test('an incarnation beyond what others accept is passed over', (t) => {
  const node = startNode();
  node.receive(pack(['gossip', 'b', 0, 0, '', [[0, 'a', Number.MAX_SAFE_INTEGER, 3, 0]]]));
  t.true(answersJoin(node));
});
