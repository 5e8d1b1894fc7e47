import { createSocket } from 'node:dgram';
import { connect } from 'node:net';
import test from 'ava';
import * as fc from 'fast-check';
import { parseHostPort, parseSocketAddress, splitSocketAddress } from '../src/index.js';

const addresses: readonly [string, ReturnType<typeof parseHostPort>][] = [
  ['127.0.0.1:80', { host: '127.0.0.1', port: 80 }],
  ['[::1]:9', { host: '::1', port: 9 }],
  ['localhost:80', undefined],
  ['127.0.0.1', undefined],
  ['127.0.0.1:70000', undefined],
];

for (const [text, expected] of addresses) {
  test(`the address ${text} is parsed as ${JSON.stringify(expected) ?? 'invalid'}`, (t) => {
    t.deepEqual(parseHostPort(text), expected);
  });
}

/** Texts that look like addresses, most of which are not valid. */
const addressLike = fc.oneof(
  fc.tuple(fc.ipV4(), fc.integer({ min: -1, max: 100_000 })).map(([host, port]) => `${host}:${port}`),
  fc.tuple(fc.ipV6(), fc.integer({ min: 0, max: 70_000 })).map(([host, port]) => `[${host}]:${port}`),
  fc
    .tuple(
      fc.array(fc.integer({ min: 0, max: 400 }), { minLength: 3, maxLength: 5 }),
      fc.stringMatching(/^\d{1,6}$/),
    )
    .map(([octets, port]) => `${octets.join('.')}:${port}`),
  fc.stringMatching(/^[\d.:[\]a-f%\n ]{0,24}$/),
);

// A port of 99999 passed the check of a listed address, and threw in the connection, the probe and the datagram.
test('sockets, datagrams and URLs accept each address that is parsed, and connect to what it says', (t) => {
  fc.assert(
    fc.property(addressLike, (text) => {
      const address = parseSocketAddress(text);
      if (address === undefined) return;
      const { host, port } = splitSocketAddress(address);
      const url = new URL(`http://${address}`);
      if (!address.startsWith('[')) t.is(url.hostname, host);
      t.is(Number(url.port === '' ? '80' : url.port), port);
      t.notThrows(() => connect({ host, port, signal: AbortSignal.abort() }).on('error', () => undefined));
    }),
    { seed: 38, numRuns: 2000 },
  );
});

test('a datagram can be sent to each address that is parsed', (t) => {
  const socket = createSocket('udp4');
  t.teardown(() => socket.close());
  for (const text of ['127.0.0.1:1', '127.0.0.1:65535']) {
    const address = parseSocketAddress(text);
    if (address === undefined) throw new Error(text);
    const { host, port } = splitSocketAddress(address);
    t.notThrows(() => socket.send('x', port, host, () => undefined));
  }
});

for (const text of [
  '127.0.0.1:0',
  '127.0.0.1:65536',
  '127.0.0.1:080',
  '127.0.0.1:',
  '300.0.0.1:80',
  '010.0.0.1:80',
  '1.2:80',
  '127.0.0.1:80\n',
  ' 127.0.0.1:80',
  'localhost:80',
  '[::1%lo]:80',
  '::1:80',
  '',
]) {
  test(`${JSON.stringify(text)} is not the address of a remote socket`, (t) => {
    t.is(parseSocketAddress(text), undefined);
  });
}
