/** Guards against errors of servers that listen: the first one was swallowed, the second one ended the process. */
import { createServer } from 'node:net';
import { VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import { AddressBinder } from '../src/index.js';

const ADDRESS = { host: '127.0.0.1', port: 0 };

test('errors of a server that listens are logged, at most once a second, and end nothing', async (t) => {
  const clock = new VirtualClock();
  const lines: string[] = [];
  const event = (level: string, name: string, subject: string, fields: object = {}): number =>
    lines.push(`${level} ${name} ${subject} ${JSON.stringify(fields)}`);
  const binder = new AddressBinder({ clock, telemetry: { event }, timeoutMs: 1000 });
  const server = createServer();
  t.teardown(() => server.close());
  t.true((await binder.listen('listen.x', server, ADDRESS)).isOk());
  const cause = Object.assign(new Error('accept EMFILE'), { code: 'EMFILE' });
  for (let count = 0; count < 3; count += 1) server.emit('error', cause);
  t.deepEqual(lines, ['error listen.server-failed listen.x {"code":"EMFILE","reason":"accept EMFILE"}']);
  await clock.runUntil(2000);
  server.emit('error', cause);
  t.is(lines.length, 2);
  t.regex(lines[1] ?? '', /"unlogged":2/);
});
