/** What a stranger leaves unfinished or unread at the port for peers is bounded; other peers are answered. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { setTimeout } from 'node:timers/promises';
import { socketAddress, type SocketAddress } from '@canvasridge/addresses';
import test, { type ExecutionContext } from 'ava';
import { DEFAULT_PEER_LIMITS, type PeerLimits } from '../src/peers/peer-limits.js';
import { PeerNetwork } from '../src/peers/peer-network.js';

const LOOPBACK = '127.0.0.1';
const CALL_TIMEOUT_MS = 10_000;
const POLL_MS = 10;

interface Setup {
  readonly network: PeerNetwork;
  readonly address: SocketAddress;
  /** Level, name and subject of each log line. */
  readonly lines: readonly string[];
  readonly open: () => Promise<Socket>;
}

async function startNetwork(
  t: ExecutionContext,
  limits: Partial<PeerLimits>,
  isMember = false,
): Promise<Setup> {
  const lines: string[] = [];
  const event = (level: string, name: string, subject: string): number =>
    lines.push(`${level} ${name} ${subject}`);
  const network = new PeerNetwork(
    {
      echo: (params) => params,
      never: () => new Promise(() => undefined),
      hold: (bytes, peer) => peer.holdUses(Number(bytes)),
    },
    () => undefined,
    () => undefined,
    () => undefined,
    { event },
    undefined,
    { ...DEFAULT_PEER_LIMITS, ...limits },
    () => isMember,
  );
  t.teardown(() => network.close());
  const bound = await network.listen({ host: LOOPBACK, port: 0 });
  const port = bound._unsafeUnwrap();
  const open = async (): Promise<Socket> => {
    const socket = connect(port, LOOPBACK);
    t.teardown(() => socket.destroy());
    socket.on('error', () => undefined);
    await once(socket, 'connect');
    return socket;
  };
  return { network, address: socketAddress(`${LOOPBACK}:${port}`), lines, open };
}

/** Resolves when the connection has ended, also if it was reset. */
function closing(socket: Socket): Promise<void> {
  return new Promise((resolve) => socket.once('close', () => resolve()));
}

// Guards against calls in progress that a stranger piles up, here with a method that does not end.
test('a connection whose calls in progress take too much gives way', async (t) => {
  const { network, address, lines, open } = await startNetwork(t, { receivedBytes: 100_000 });
  const socket = (await open()).resume();
  const closed = closing(socket);
  socket.write('{"jsonrpc":"2.0","method":"never","params":[[[[[[[[]]]]]]]]}\n'.repeat(100));
  await closed;
  t.deepEqual(lines, ['warn peer.gave-way received']);
  t.is(await network.to(address).call('echo', 'x', CALL_TIMEOUT_MS), 'x');
});

test('calls that are answered at once take nothing, however many they are', async (t) => {
  const { network, address, lines } = await startNetwork(t, { receivedBytes: 100_000 });
  const connection = network.to(address);
  const calls = Array.from({ length: 2000 }, (_, index) => connection.call('echo', index, CALL_TIMEOUT_MS));
  t.deepEqual(
    await Promise.all(calls),
    calls.map((_, index) => index),
  );
  t.deepEqual(lines, []);
});

test('of two unfinished lines over the budget the longer one gives way', async (t) => {
  const { lines, open } = await startNetwork(t, { receivedBytes: 405_000 });
  const [longer, shorter] = [(await open()).resume(), (await open()).resume()];
  const closed = closing(longer);
  longer.write(`{${' '.repeat(270_000)}`);
  shorter.write(`{${' '.repeat(140_000)}`);
  await closed;
  t.deepEqual(lines, ['warn peer.gave-way received']);
  shorter.write('"jsonrpc":"2.0","id":7,"method":"echo","params":"x"}\n');
  t.deepEqual(JSON.parse(String((await once(shorter, 'data'))[0])), { jsonrpc: '2.0', id: 7, result: 'x' });
});

test('a connection that reads none of its answers gives way', async (t) => {
  const { network, address, lines, open } = await startNetwork(t, { unreadBytes: 4_000_000 });
  const socket = (await open()).pause();
  const closed = closing(socket);
  const params = 'x'.repeat(100_000);
  socket.write(`{"jsonrpc":"2.0","id":7,"method":"echo","params":"${params}"}\n`.repeat(400));
  await closed;
  t.deepEqual(lines, ['warn peer.gave-way unread']);
  t.is(await network.to(address).call('echo', 'x', CALL_TIMEOUT_MS), 'x');
});

test('answers that are read take nothing, however many they are', async (t) => {
  const { network, address, lines } = await startNetwork(t, { unreadBytes: 1_000_000 });
  const params = 'x'.repeat(100_000);
  for (let count = 0; count < 50; count += 1)
    t.is(await network.to(address).call('echo', params, CALL_TIMEOUT_MS), params);
  t.deepEqual(lines, []);
});

test('of too many connections the oldest silent one is closed, and a call is answered', async (t) => {
  const { network, address, lines, open } = await startNetwork(t, { maxConnections: 2 });
  const oldest = (await open()).resume();
  const closed = closing(oldest);
  await open();
  t.is(await network.to(address).call('echo', 'x', CALL_TIMEOUT_MS), 'x');
  await closed;
  t.deepEqual(lines, ['warn peer.gave-way connections']);
});

test('a connection on which nothing comes is closed', async (t) => {
  const { lines, open } = await startNetwork(t, { firstByteMs: 0 });
  await closing((await open()).resume());
  t.deepEqual(lines, ['warn peer.gave-way silent']);
});

// Guards against a stranger that leaves 4 MiB unread, after which followers would get no lists.
test('a connection that takes nothing of its answers for some time is closed', async (t) => {
  const { network, address, lines, open } = await startNetwork(t, { readMs: 100, unreadBytes: 100_000_000 });
  const socket = (await open()).pause();
  const closed = closing(socket);
  const params = 'x'.repeat(100_000);
  socket.write(`{"jsonrpc":"2.0","id":7,"method":"echo","params":"${params}"}\n`.repeat(400));
  while (lines.length === 0) await setTimeout(POLL_MS);
  socket.resume();
  await closed;
  t.deepEqual(lines, ['warn peer.gave-way not-reading']);
  while (network.traffic.waitingBytes > 0) await setTimeout(POLL_MS); // until the node has seen the end, too
  t.is(await network.to(address).call('echo', 'x', CALL_TIMEOUT_MS), 'x');
});

test('a connection for which too many slots are held is closed, unless it is of a member', async (t) => {
  const { lines, open } = await startNetwork(t, { usesBytes: 1000 });
  const [more, less] = [(await open()).resume(), (await open()).resume()];
  const closed = closing(more);
  more.write('{"jsonrpc":"2.0","method":"hold","params":600}\n');
  less.write('{"jsonrpc":"2.0","method":"hold","params":500}\n');
  await closed;
  t.deepEqual(lines, ['warn peer.gave-way uses']);
  const members = await startNetwork(t, { usesBytes: 1000 }, true);
  const connection = members.network.to(members.address);
  connection.notify('hold', 2000);
  t.is(await connection.call('echo', 'x', CALL_TIMEOUT_MS), 'x');
  t.deepEqual(members.lines, []);
});
