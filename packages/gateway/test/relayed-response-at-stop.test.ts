/** A planned stop of a node that relays a response which the other node reads slowly. */
import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';
import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import { RELAY_HEADER } from '../src/relay/relay-protocol.js';
import { success } from './raw-backend.js';
import { startRelay } from './running-relay.js';

const BODY = 'x'.repeat(10_000);

/** A connection whose small window is full: each write is taken after a while. */
class SlowConnection extends Duplex {
  received = '';

  constructor(request: string) {
    super();
    this.push(request);
  }

  override _read(): void {}

  override _write(bytes: Buffer, _encoding: string, callback: () => void): void {
    setTimeout(() => {
      if (!this.destroyed) this.received += bytes.toString();
      callback();
    }, 300);
  }
}

// The end of the response was cut: it counted as written when it was handed to the connection.
test('a relayed response counts as running until it is written, so that a planned stop waits for it', async (t) => {
  const relay = await startRelay(t, (socket, id) => socket.write(success(id, BODY)));
  const connection = new SlowConnection(
    `POST /x/y HTTP/1.1\r\nhost: a.example\r\nattempt-id: r1\r\n${RELAY_HEADER.backend}: i1\r\ncontent-length: 0\r\n\r\n`,
  );
  relay.server.accept(connection as unknown as Socket);
  while (relay.server.running === 0) await pause(1);
  while (relay.server.running > 0) await pause(1);
  // What GatewayNode.stop does when nothing runs: it leaves, sleeps 50 ms, and closes (PeerNetwork.close).
  await pause(50);
  connection.destroy();
  await pause(1000);
  t.true(connection.received.length > BODY.length);
});
