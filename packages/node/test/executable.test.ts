/** What the executable of a node does about the streams, signals and connections that it has from outside. */
import { request } from 'node:http';
import { once } from 'node:events';
import { connect } from 'node:net';
import test from 'ava';
import { NodeExecutable } from './node-executable.js';

const SUCCESS = 0;

/** The status that the readiness check answers; the process is alive if there is one. */
async function readyStatus(address: { host: string; port: number }): Promise<number> {
  const outgoing = request({ ...address, path: '/readyz', agent: false }).end();
  const [incoming] = (await once(outgoing, 'response')) as [{ statusCode: number; resume: () => void }];
  incoming.resume();
  return incoming.statusCode;
}

// The signal ended the process, with all its requests.
test('a node goes on when it gets SIGHUP', async (t) => {
  const node = await NodeExecutable.start(t);
  const address = await node.ready();
  node.child.kill('SIGHUP');
  await node.wrote('event=settings.not-reloaded');
  t.true((await readyStatus(address)) > 0);
  node.child.kill('SIGTERM');
  t.is(await node.ended(), SUCCESS);
});
// The next line was a write that failed, which nothing caught: all nodes with the same log collector ended with it.
for (const stream of ['stdout', 'stderr'] as const) {
  test(`a node goes on when the reader of its ${stream} ends`, async (t) => {
    const node = await NodeExecutable.start(t, { log: { level: 'debug' } });
    const address = await node.ready();
    node.child[stream]?.destroy();
    node.child.kill('SIGHUP');
    for (let count = 0; count < 20; count += 1) await readyStatus(address);
    node.child.kill('SIGTERM');
    t.is(await node.ended(), SUCCESS);
  });
}

// The stop waited for the client to close its connection, without an end.
test('a planned stop ends while a client has a connection that says nothing', async (t) => {
  const node = await NodeExecutable.start(t);
  const socket = connect(await node.ready());
  t.teardown(() => socket.destroy());
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  node.child.kill('SIGTERM');
  t.is(await node.ended(), SUCCESS);
});
