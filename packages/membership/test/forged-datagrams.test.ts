/** Datagrams of strangers, who do not have the key: they are dropped before they are decoded. */
import { createHmac } from 'node:crypto';
import { createSocket } from 'node:dgram';
import { SystemClock } from '@canvasridge/clock';
import { LimitedEvents } from '@canvasridge/telemetry';
import test from 'ava';
import { UdpTransport } from '../src/index.js';

const KEY = 'key';
const MAC_BYTES = 8;
const FLOOD = 5000;
const LONGEST_BYTES = 60_000;
/** Sent at a time, so that the socket's buffer holds them. */
const BATCH = 20;
const POLL_MS = 2;

function signed(content: Uint8Array, key: string): Buffer {
  const mac = createHmac('sha256', key).update(content).digest().subarray(0, MAC_BYTES);
  return Buffer.concat([content, mac]);
}

// Guards against a flood of forged datagrams that is decoded, logged or kept.
test('forged datagrams of any length reach nobody and are not logged, and the next valid one is received', async (t) => {
  const logged: string[] = [];
  const events = new LimitedEvents({ event: (_, name) => logged.push(name) }, new SystemClock());
  const bound = await UdpTransport.bind({ host: '127.0.0.1', port: 0 }, KEY, events);
  const transport = bound._unsafeUnwrap();
  t.teardown(() => transport.close());
  const received: string[] = [];
  transport.onMessage((_, bytes) => received.push(Buffer.from(bytes).toString()));
  const stranger = createSocket('udp4');
  t.teardown(() => stranger.close());
  const [host = '', port = ''] = transport.localAddress.split(':');
  const send = (bytes: Buffer): Promise<void> =>
    new Promise((resolve) => stranger.send(bytes, Number(port), host, () => resolve()));
  const forged = [
    Buffer.alloc(0),
    Buffer.alloc(MAC_BYTES),
    Buffer.alloc(LONGEST_BYTES),
    signed(Buffer.from('forged'), 'another key'),
    signed(Buffer.from('cut'), KEY).subarray(1),
  ];
  for (let sent = 0; sent < FLOOD; sent += BATCH)
    await Promise.all(
      Array.from({ length: BATCH }, (_, index) => send(forged[index % forged.length] ?? Buffer.alloc(0))),
    );
  while (received.length === 0) {
    await send(signed(Buffer.from('valid'), KEY)); // again, as some of a flood are lost
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  t.deepEqual(new Set(received), new Set(['valid']));
  t.deepEqual(logged, []);
});
