/** What a node that sends a request through another one makes of a break of the link between the two in mid-request. */
import { socketAddress } from '@canvasridge/addresses';
import type { Socket } from 'node:net';
import { VirtualClock, type Clock } from '@canvasridge/clock';
import test, { type ExecutionContext } from 'ava';
import { BackendConnections } from '../src/backends/backend-connections.js';
import { RelayHop } from '../src/relay/relay-hop.js';
import { RELAY_HEADER } from '../src/relay/relay-protocol.js';
import { Harness, type RouteOverrides } from './harness.js';
import { RawBackend, chunk, endsByReset, streamHead, success, type RawResponder } from './raw-backend.js';

interface RelayedGateway {
  readonly harness: Harness;
  /** The relaying nodes, in the order in which they are chosen. */
  readonly peers: readonly RawBackend[];
  /** Ids of the relaying nodes that were chosen. */
  readonly chosen: string[];
}

const TIMEOUT_MS = 300;

const answers: RawResponder = (socket, id) => socket.write(success(id, 'answer'));
const breaks: RawResponder = (socket) => socket.resetAndDestroy();

/** Starts a gateway that has lost its path to its two backends, and the nodes through which it sends requests. */
async function startBehind(
  t: ExecutionContext,
  route: RouteOverrides,
  responders: readonly RawResponder[],
  clock?: Clock,
): Promise<RelayedGateway> {
  const harness = await Harness.start(route, [answers, answers], clock);
  const connections = new BackendConnections();
  const peers = await Promise.all(responders.map((respond) => RawBackend.start(respond)));
  const chosen: string[] = [];
  harness.pathState = 'lost';
  harness.openRelay = (backend, excluded, onReceived) => {
    const index = peers.findIndex((_, at) => !excluded.has(`peer-${at}`));
    const peer = peers[index];
    const peerId = `peer-${index}`;
    const connection =
      peer && connections.acquire({ id: peerId, address: socketAddress(`127.0.0.1:${peer.port}`) }, 10, 1);
    if (connection === undefined) return Promise.resolve(undefined);
    chosen.push(peerId);
    const options = { connection, peerId, backendId: backend.id, onReceived, onEnded: () => undefined };
    return Promise.resolve(new RelayHop(options));
  };
  t.teardown(() => {
    harness.stop();
    connections.close();
    for (const peer of peers) peer.stop();
  });
  return { harness, peers, chosen };
}

// Guards against running a request twice, or calling it unsent, when the relaying node may have sent it.
test('a request that must not repeat runs at most once, and its refusal does not say that it was not run', async (t) => {
  const { harness, peers } = await startBehind(t, { kind: 'at-most-once' }, [breaks, answers]);
  const { status } = await harness.call('a1');
  t.is(status, 502);
  t.deepEqual(
    peers.map(({ requestHeads }) => requestHeads.length),
    [1, 0],
  );
  t.is(harness.sends, 0);
});

test('a request that may repeat is sent through another node', async (t) => {
  const { harness, chosen } = await startBehind(t, { kind: 'idempotent', attempts: 2 }, [breaks, answers]);
  t.like(await harness.call('a1'), { status: 200, body: 'answer', whole: true });
  t.deepEqual(chosen, ['peer-0', 'peer-1']);
});

test('a response that breaks within its body is not passed on as complete', async (t) => {
  const partial: RawResponder = (socket, id) => {
    socket.write(streamHead(id) + chunk('id: 1\ndata: e1\n\n'));
    setTimeout(() => socket.resetAndDestroy(), 30);
  };
  const { harness } = await startBehind(t, { kind: 'stream', attempts: 1 }, [partial]);
  t.false((await harness.call('a1')).whole);
});

// Guards against counting the end of a relaying node as a crash of the backend, three of which quarantine a request.
test('a lost link is no crash of the backend until that is not listed any more', async (t) => {
  const { harness } = await startBehind(t, { kind: 'at-most-once' }, [breaks]);
  await harness.call('a1');
  t.deepEqual(
    harness.quarantineReports.map((report) => report.split(' ')[0]),
    ['unresolved'],
  );
});

test('a crash of the backend that the relaying node saw counts as such', async (t) => {
  const broken: RawResponder = (socket) =>
    socket.write(`HTTP/1.1 503 Broken\r\n${RELAY_HEADER.failure}: broken\r\ncontent-length: 0\r\n\r\n`);
  const { harness } = await startBehind(t, { kind: 'at-most-once' }, [broken]);
  t.is((await harness.call('a1')).status, 502);
  t.deepEqual(
    harness.quarantineReports.map((report) => report.split(' ')[0]),
    ['interrupted'],
  );
});

test('a request through a link that stays silent ends at its deadline', async (t) => {
  const clock = new VirtualClock();
  let arrive = (): void => undefined;
  const arrived = new Promise<void>((resolve) => (arrive = resolve));
  const route = { kind: 'at-most-once', timeoutMs: TIMEOUT_MS } as const;
  const { harness } = await startBehind(t, route, [() => arrive()], clock);
  const response = harness.call('a1');
  await arrived;
  await clock.runUntil(TIMEOUT_MS);
  t.is((await response).status, 504);
});

test('when the client leaves, the connection to the relaying node is reset', async (t) => {
  const arrived: { resolve: (socket: Socket) => void } = { resolve: () => undefined };
  const socket = new Promise<Socket>((resolve) => (arrived.resolve = resolve));
  const { harness } = await startBehind(t, { kind: 'at-most-once' }, [(peer) => arrived.resolve(peer)]);
  const left = harness.callAndDisconnect(
    'a1',
    socket.then(() => undefined),
  );
  t.true(await endsByReset(await socket));
  await left;
});
