/** What a node answers to another node that sends requests to a backend through it. */
import { socketAddress } from '@canvasridge/addresses';
import type { Socket } from 'node:net';
import test from 'ava';
import { RELAY_HEADER } from '../src/relay/relay-protocol.js';
import { chunk, endsByReset, streamHead, success } from './raw-backend.js';
import { relayedCall } from './relayed-call.js';
import { startRelay } from './running-relay.js';

test('a request reaches the backend unchanged but for the header between nodes, and its response comes back', async (t) => {
  const { port, backend } = await startRelay(t, (socket, id) => socket.write(success(id, 'answer')));
  t.deepEqual(await relayedCall(port), { status: 200, failure: undefined, body: 'answer', whole: true });
  const [head = ''] = backend.requestHeads;
  t.true(head.startsWith('POST /x/y?z=1 HTTP/1.1'));
  t.regex(head, /host: a\.example/i);
  t.notRegex(head, /relay/i);
});

// Such a response must not look complete at the other node, nor may a backend claim that it was not sent.
test('a response that breaks off is broken off, and a failure named by the backend is not passed on', async (t) => {
  const { port } = await startRelay(t, (socket, id) => {
    socket.write(streamHead(id).replace('\r\n\r\n', `\r\n${RELAY_HEADER.failure}: no-room\r\n\r\n`));
    socket.write(chunk('data: 1\n\n'), () => setTimeout(() => socket.resetAndDestroy(), 20));
  });
  const response = await relayedCall(port);
  t.is(response.failure, undefined);
  t.false(response.whole);
});

test('a request that was sent and got no response is not called unsent', async (t) => {
  const { port } = await startRelay(t, (socket) => socket.resetAndDestroy());
  t.is((await relayedCall(port)).failure, 'broken');
});

test('a request that must not or can not be sent is refused with the reason', async (t) => {
  const relay = await startRelay(t, (socket, id) => socket.write(success(id, 'answer')));
  t.is((await relayedCall(relay.port, 'i9')).failure, 'no-room');
  relay.isListTooOld = true;
  t.is((await relayedCall(relay.port)).failure, 'old-list');
  relay.isListTooOld = false;
  relay.fleet.recordAnnouncedShutdown('i1', 'answer');
  t.is((await relayedCall(relay.port)).failure, 'leaving');
  t.is(relay.backend.requestHeads.length, 0);
});

// The exception ended the process; a node that survived it would have counted the request as running for ever.
test('a request whose relaying fails by an error is refused, and is not counted as running', async (t) => {
  const relay = await startRelay(t, (socket, id) => socket.write(success(id, 'answer')));
  relay.defect = new Error('x');
  t.is((await relayedCall(relay.port)).failure, 'no-room');
  t.is(relay.server.running, 0);
  relay.defect = undefined;
  t.is((await relayedCall(relay.port)).body, 'answer');
});

test('a backend that can not be reached is named as such', async (t) => {
  const { port, fleet } = await startRelay(t, () => undefined);
  fleet.applyBackend(2, {
    ...(fleet.backend('i1') ?? never()),
    id: 'i2',
    address: socketAddress('127.0.0.1:1'),
  });
  t.is((await relayedCall(port, 'i2')).failure, 'unreachable');
});

test('when the other node closes its connection, the one to the backend is reset', async (t) => {
  const arrived = new Promise<Socket>((resolve) => {
    void startRelay(t, (socket) => resolve(socket)).then(async ({ port }) => {
      const cancel = new AbortController();
      const response = relayedCall(port, 'i1', cancel.signal);
      await arrived;
      cancel.abort();
      await response;
    });
  });
  t.true(await endsByReset(await arrived));
});

function never(): never {
  throw new Error('not listed');
}
