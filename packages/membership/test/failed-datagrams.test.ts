/** Datagrams that can't be handled or sent: they are lost, and the node goes on. */
import { Random, VirtualClock } from '@canvasridge/clock';
import { LimitedEvents, Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import { Membership, UdpTransport, encodeMessage, type DatagramTransport } from '../src/index.js';

class Log {
  readonly names: string[] = [];
  event(level: string, name: string, subject: string): void {
    this.names.push(`${level} ${name} ${subject}`);
  }
}

// What the handling of one datagram threw was an uncaught exception of the socket.
test('an error in the handling of a datagram is logged, and the next one is handled', (t) => {
  const clock = new VirtualClock();
  let receive: (from: string, bytes: Uint8Array) => void = () => undefined;
  const sent: string[] = [];
  const transport: DatagramTransport = {
    localAddress: 'a',
    send: (to) => {
      sent.push(to);
      if (to === 'bad') throw new Error('x');
    },
    onMessage: (receiver) => (receive = receiver),
    close: () => undefined,
  };
  const log = new Log();
  const identity = { id: 'a', zone: 'z', region: 'r', gossip: 'a', peerUrl: '', callerUrl: '', capacity: 0 };
  new Membership({
    identity: { ...identity, processToken: 'first' },
    transport,
    clock,
    random: new Random(1),
    telemetry: Object.assign(new Telemetry({ processName: 'a', clock }), {
      event: (level: string, name: string, subject: string) => log.event(level, name, subject),
    }),
    events: {},
    seeds: () => [],
    revision: () => 0,
  });
  const ping = { kind: 'ping', sender: 'b', revision: 0, sequence: 1, target: '', updates: [] } as const;
  receive('bad', encodeMessage(ping));
  t.deepEqual(log.names, ['error membership.datagram-failed bad']);
  receive('good', encodeMessage(ping));
  t.true(sent.includes('good'));
});

// A member may announce any text as its address; a port that does not exist threw in the task that sent to it.
test('a datagram to an address that is none is dropped and logged', async (t) => {
  const log = new Log();
  const events = new LimitedEvents(log, new VirtualClock());
  const transport = (await UdpTransport.bind({ host: '127.0.0.1', port: 0 }, 'key', events))._unsafeUnwrap();
  t.teardown(() => transport.close());
  for (const address of ['127.0.0.1:70000', '300.0.0.1:1', 'x', ''])
    t.notThrows(() => transport.send(address, new Uint8Array([1])), address);
  t.is(log.names.length, 4);
  t.true(log.names.every((name) => name.startsWith('warn membership.no-address ')));
});
