import { connect } from 'node:net';
import test from 'ava';
import { ClientServer } from '../src/client-server.js';

const HOST = '127.0.0.1';
/** More than the socket buffers of both sides hold. */
const BODY_BYTES = 32 * 1024 * 1024;
const PAUSE_MS = 200;

test('a response that is still being written when the server stops accepting arrives whole', async (t) => {
  const server = new ClientServer((_request, response) => {
    response.writeHead(200, { 'content-length': BODY_BYTES });
    response.end(Buffer.alloc(BODY_BYTES));
  });
  const bound = await server.listen('test', HOST, 0);
  if (bound.isErr()) throw new Error(bound.error.reason);
  const socket = connect({ host: HOST, port: bound.value });
  socket.write('GET / HTTP/1.1\r\nhost: x\r\n\r\n');
  await new Promise((resolve) => socket.once('readable', resolve));
  server.stopAccepting();
  await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
  let bytes = 0;
  socket.on('data', (part: Buffer) => {
    bytes += part.length;
  });
  const error = await new Promise<Error | undefined>((resolve) => {
    socket.once('error', resolve);
    socket.once('end', () => resolve(undefined));
  });
  t.is(error, undefined);
  t.true(bytes > BODY_BYTES, `${bytes} bytes`);
});

test('an idle connection is closed when the server stops accepting', async (t) => {
  const server = new ClientServer((_request, response) => response.end('x'));
  const bound = await server.listen('test', HOST, 0);
  if (bound.isErr()) throw new Error(bound.error.reason);
  const socket = connect({ host: HOST, port: bound.value });
  const ended = new Promise((resolve) => socket.once('end', resolve));
  socket.write('GET / HTTP/1.1\r\nhost: x\r\n\r\n');
  await new Promise((resolve) => socket.once('data', resolve));
  t.false(server.closing);
  server.stopAccepting();
  t.true(server.closing);
  await ended;
});
