import { createServer } from 'node:net';
import test from 'ava';
import { VirtualClock } from '@canvasridge/clock';
import { err, ok, type Result } from 'neverthrow';
import { AddressBinder, bindError, listen, type BindError } from '../src/index.js';

const ADDRESS = { host: '127.0.0.1', port: 80 };
const TIMEOUT_MS = 1000;

function failure(code: string): Result<never, BindError> {
  return err(bindError(ADDRESS, Object.assign(new Error(`bind ${code}`), { code })));
}

/** Binds with tries that end so, the last one repeated; gives the result, the number of tries and the log lines. */
async function bindWith(results: readonly Result<string, BindError>[], signal?: AbortSignal) {
  const clock = new VirtualClock();
  const lines: string[] = [];
  const event = (level: string, name: string, subject: string): number =>
    lines.push(`${level} ${name} ${subject}`);
  const options = { clock, telemetry: { event }, timeoutMs: TIMEOUT_MS };
  const binder = new AddressBinder(signal === undefined ? options : { ...options, signal });
  let tries = 0;
  let result: Result<string, BindError> | undefined;
  const task = binder
    .bind('listen.x', async () => results[Math.min(tries++, results.length - 1)] as Result<string, BindError>)
    .then((bound) => (result = bound));
  await clock.runUntil(10 * TIMEOUT_MS);
  await task;
  return { result, tries, lines };
}

test('an address that is in use, or not there yet, is tried again', async (t) => {
  const { result, tries, lines } = await bindWith([
    failure('EADDRINUSE'),
    failure('EADDRNOTAVAIL'),
    ok('bound'),
  ]);
  t.deepEqual(result, ok('bound'));
  t.is(tries, 3);
  t.deepEqual(lines, ['warn listen.waiting listen.x', 'info listen.bound listen.x']);
});

test('an address that stays in use is an error after the time-out, with one line', async (t) => {
  const { result, tries, lines } = await bindWith([failure('EADDRINUSE')]);
  t.is(result?._unsafeUnwrapErr().code, 'EADDRINUSE');
  t.true(tries > 1);
  t.deepEqual(lines, ['warn listen.waiting listen.x']);
});

// The time-out held for each address: a start could take many times as long.
test('all addresses of a binder together wait no longer than the time-out', async (t) => {
  const clock = new VirtualClock();
  const binder = new AddressBinder({ clock, telemetry: { event: () => undefined }, timeoutMs: TIMEOUT_MS });
  const task = (async () => {
    for (let address = 0; address < 3; address += 1)
      await binder.bind('listen.x', async () => failure('EADDRINUSE'));
    return clock.now();
  })();
  await clock.runUntil(10 * TIMEOUT_MS);
  t.true((await task) <= TIMEOUT_MS);
});

test('other errors are final', async (t) => {
  const { result, tries, lines } = await bindWith([failure('EACCES')]);
  t.is(result?._unsafeUnwrapErr().code, 'EACCES');
  t.is(tries, 1);
  t.deepEqual(lines, []);
});

test('a stop ends the waiting', async (t) => {
  const { result, tries } = await bindWith([failure('EADDRINUSE')], AbortSignal.abort());
  t.true(result?.isErr());
  t.is(tries, 1);
});

// Each try left a listener: Node.js warned at the eleventh.
test('a server that fails to listen many times keeps no listeners of earlier tries', async (t) => {
  const holder = createServer();
  const { port } = (await listen(holder, { host: ADDRESS.host, port: 0 }))._unsafeUnwrap();
  const server = createServer();
  for (let tries = 0; tries < 12; tries += 1)
    t.true((await listen(server, { host: ADDRESS.host, port })).isErr());
  t.is(server.listenerCount('listening'), 0);
  t.is(server.listenerCount('error'), 0);
  holder.close();
});
