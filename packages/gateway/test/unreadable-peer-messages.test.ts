/** What peers send that is no message, or that a method fails at: it is logged, and only its connection may end. */
import { once } from 'node:events';
import { connect } from 'node:net';
import { socketAddress, type SocketAddress } from '@canvasridge/addresses';
import test, { type ExecutionContext } from 'ava';
import { PeerNetwork } from '../src/peers/peer-network.js';

const LOOPBACK = '127.0.0.1';

interface Setup {
  readonly network: PeerNetwork;
  readonly address: SocketAddress;
  readonly lines: string[];
}

async function startNetwork(t: ExecutionContext): Promise<Setup> {
  const lines: string[] = [];
  const event = (
    level: string,
    name: string,
    subject: string,
    fields: Record<string, unknown> = {},
  ): number => lines.push(`${level} ${name} ${subject} ${String(fields['reason'] ?? fields['error'])}`);
  const fail = (): never => {
    throw new Error('method failed');
  };
  const network = new PeerNetwork(
    { echo: (params) => params, throws: fail, rejects: async () => fail() },
    () => undefined,
    () => undefined,
    () => undefined,
    { event },
  );
  t.teardown(() => network.close());
  const port = await network.listen({ host: LOOPBACK, port: 0 });
  return { network, address: socketAddress(`${LOOPBACK}:${port._unsafeUnwrap()}`), lines };
}

// The line `null` threw in the handler of the socket, which ended the process.
test('a line that is no JSON object ends its connection and is logged', async (t) => {
  for (const line of ['null', '1', '"x"', '[]', '{', '']) {
    const { network, address, lines } = await startNetwork(t);
    const socket = connect(Number(address.split(':')[1]), LOOPBACK);
    socket.on('error', () => undefined).resume();
    socket.write(`{"jsonrpc":"2.0","id":1,"method":"echo"}\n${line}\n`);
    await once(socket, 'close');
    t.deepEqual(lines, [`warn peer.unreadable ${LOOPBACK} no JSON object`], line);
    t.is(await network.to(address).call('echo', 'x', 5000), 'x', line);
  }
});

test('an object that is no JSON-RPC message ends its connection and is logged', async (t) => {
  const { address, lines } = await startNetwork(t);
  const socket = connect(Number(address.split(':')[1]), LOOPBACK);
  socket.on('error', () => undefined).resume();
  socket.write('{"a":1}\n');
  await once(socket, 'close');
  t.deepEqual(lines, [`warn peer.unreadable ${LOOPBACK} handling failed`]);
});

// The error was dropped without a line.
test('an error of a method is logged with its name', async (t) => {
  const { network, address, lines } = await startNetwork(t);
  for (const method of ['throws', 'rejects'])
    t.is(await network.to(address).call(method, {}, 5000), undefined);
  t.deepEqual(lines, [
    'error peer.method-failed throws Error: method failed',
    'error peer.method-failed rejects Error: method failed',
  ]);
});
