/** Names of methods that peers make up are not kept. */
import { connect } from 'node:net';
import { socketAddress } from '@canvasridge/addresses';
import test from 'ava';
import { PeerNetwork } from '../src/peers/peer-network.js';

const LOOPBACK = '127.0.0.1';
const CALL_TIMEOUT_MS = 10_000;
const NAMES = 100;

// Each name became a label of a metric, which a process keeps until it ends.
test('answers to calls of methods that are not offered are counted under one name', async (t) => {
  const unused = (): void => undefined;
  const network = new PeerNetwork({ echo: (params) => params }, unused, unused, unused, { event: unused });
  t.teardown(() => network.close());
  const port = await network.listen({ host: LOOPBACK, port: 0 });
  const caller = new PeerNetwork({}, unused, unused, unused, { event: unused });
  t.teardown(() => caller.close());
  const connection = caller.to(socketAddress(`${LOOPBACK}:${port._unsafeUnwrap()}`));
  const madeUp = Array.from({ length: NAMES }, (_, index) => `made-up-${index}`);
  for (const name of [...madeUp, 'toString', '__proto__']) await connection.call(name, {}, CALL_TIMEOUT_MS);
  t.is(await connection.call('echo', 'x', CALL_TIMEOUT_MS), 'x');
  t.deepEqual(
    network.traffic
      .take()
      .map(({ method }) => method)
      .sort(),
    ['echo', 'unknown'],
  );
});

test('a method whose name is no text ends its connection at most', async (t) => {
  const unused = (): void => undefined;
  const network = new PeerNetwork({ echo: (params) => params }, unused, unused, unused, { event: unused });
  t.teardown(() => network.close());
  const bound = await network.listen({ host: LOOPBACK, port: 0 });
  const port = bound._unsafeUnwrap();
  for (const method of ['{"toString":1,"valueOf":1}', '[]', '1', 'null', 'true']) {
    const socket = connect(port, LOOPBACK).on('error', unused).resume();
    socket.write(`{"jsonrpc":"2.0","id":1,"method":${method}}\n`);
    const connection = network.to(socketAddress(`${LOOPBACK}:${port}`));
    t.is(await connection.call('echo', 'x', CALL_TIMEOUT_MS), 'x', method);
    socket.destroy();
  }
});
