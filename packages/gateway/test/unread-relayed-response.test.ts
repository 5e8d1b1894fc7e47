import { connect, type Socket } from 'node:net';
import test from 'ava';
import { RELAY_HEADER } from '../src/relay/relay-protocol.js';
import { chunk, streamHead, success } from './raw-backend.js';
import { relayedCall } from './relayed-call.js';
import { RESPONSE_MEMORY_BYTES, startRelay } from './running-relay.js';

const BLOCK = chunk('x'.repeat(65_536));
/** Longer than a node may take nothing before its response gives way to others. */
const STALL_MS = 1200;

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await sleep(5);
}

function sendEndlessly(socket: Socket): void {
  const send = (): void => {
    while (!socket.destroyed && socket.write(BLOCK));
  };
  socket.on('drain', send);
  send();
}

// Guards against responses that a relaying node holds without a bound, and that keep their backends, as nobody reads them.
test('a relayed response that is not read gives way when memory runs out, and its backend is released', async (t) => {
  const sockets: Socket[] = [];
  const relay = await startRelay(t, (socket, id) => {
    if (id === 'r1') return void socket.write(success(id, 'answer'));
    sockets.push(socket);
    socket.write(streamHead(id));
    sendEndlessly(socket);
  });
  const asking = connect({ host: '127.0.0.1', port: relay.port });
  asking.on('error', () => undefined);
  t.teardown(() => asking.destroy());
  asking.pause();
  const fields = ['POST /x/ HTTP/1.1', 'host: a.example', 'attempt-id: r0', `${RELAY_HEADER.backend}: i1`];
  asking.write(`${fields.join('\r\n')}\r\ncontent-length: 0\r\n\r\n`);
  await until(() => relay.responseMemory.heldBytes > 0);
  t.is(relay.server.running, 1);
  await sleep(STALL_MS);
  const filler = relay.responseMemory.open('filler', () => undefined);
  filler.keep(RESPONSE_MEMORY_BYTES);
  await until(() => sockets[0]?.closed === true && relay.server.running === 0);
  filler.release();
  t.is(relay.responseMemory.heldBytes, 0);
  t.is((await relayedCall(relay.port)).body, 'answer', 'others are relayed');
  let received = '';
  asking.on('data', (bytes: Buffer) => (received += bytes.toString('latin1')));
  asking.resume();
  await until(() => asking.closed);
  t.true(received.startsWith('HTTP/1.1 200 '));
  t.false(received.endsWith('0\r\n\r\n'), 'it does not look complete');
});
