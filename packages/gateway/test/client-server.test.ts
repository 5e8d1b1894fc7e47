import { get } from 'node:http';
import { connect } from 'node:net';
import { SystemClock } from '@canvasridge/clock';
import { Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import { ClientServer } from '../src/client-server.js';

const HOST = '127.0.0.1';
/** More than the socket buffers of both sides hold. */
const BODY_BYTES = 32 * 1024 * 1024;
const PAUSE_MS = 200;
const TELEMETRY = new Telemetry({ processName: 'test', clock: new SystemClock() });

test('a response that is still being written when the server stops accepting arrives whole', async (t) => {
  const server = new ClientServer((_request, response) => {
    response.writeHead(200, { 'content-length': BODY_BYTES });
    response.end(Buffer.alloc(BODY_BYTES));
  }, TELEMETRY);
  const bound = await server.listen({ host: HOST, port: 0 });
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
  const server = new ClientServer((_request, response) => response.end('x'), TELEMETRY);
  const bound = await server.listen({ host: HOST, port: 0 });
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

// The exception ended the process.
test('a request whose listener throws is answered, and the next one is served', async (t) => {
  const lines: string[] = [];
  const event = (level: string, name: string, subject: string): number =>
    lines.push(`${level} ${name} ${subject}`);
  const server = new ClientServer(
    (request, response) => {
      if (request.url === '/bad') throw new Error('x');
      response.end('x');
    },
    { event },
  );
  const bound = await server.listen({ host: HOST, port: 0 });
  const port = bound._unsafeUnwrap();
  const statusOf = (path: string): Promise<number | undefined> =>
    new Promise((resolve, reject) => {
      get({ host: HOST, port, path, agent: false }, (response) => {
        response.resume();
        response.once('end', () => resolve(response.statusCode));
      }).on('error', reject);
    });
  t.is(await statusOf('/bad'), 503);
  t.is(await statusOf('/good'), 200);
  t.deepEqual(lines, ['error request.defect /bad']);
  t.is(server.openResponses, 0);
  server.stopAccepting();
});
