/** An error within a planned stop of a node. */
import { request } from 'node:http';
import test from 'ava';
import { StreamVersions } from '../src/streams/stream-versions.js';
import { HOST } from './harness.js';
import { success } from './raw-backend.js';
import { startNode } from './running-node.js';

// The stop ended at once, and with it the process and all its requests.
test('an error in one step of a planned stop does not end the stop at once', async (t) => {
  let answer = (): void => undefined;
  let arrive = (): void => undefined;
  const arrived = new Promise<void>((resolve) => (arrive = resolve));
  const { node, port } = await startNode(t, { graceMs: 3000 }, (socket, attemptId) => {
    answer = () => socket.write(success(attemptId, 'answer'));
    arrive();
  });
  const status = new Promise<number>((resolve) => {
    const outgoing = request(
      { host: '127.0.0.1', port, method: 'POST', path: '/x/', headers: { host: HOST, 'attempt-id': 'a1' } },
      (incoming) => resolve(incoming.resume().statusCode ?? 0),
    );
    outgoing.on('error', () => resolve(0));
    outgoing.end('question');
  });
  await arrived;
  const handOver = Object.getOwnPropertyDescriptor(StreamVersions.prototype, 'handOver');
  t.teardown(() => Object.defineProperty(StreamVersions.prototype, 'handOver', handOver ?? {}));
  StreamVersions.prototype.handOver = () => {
    throw new Error('injected');
  };
  setTimeout(() => answer(), 500);
  const stopped = node.stop();
  const outcome = await Promise.race([
    stopped.then(
      () => 'stopped',
      (cause: unknown) => String(cause),
    ),
    status.then((code) => `answered ${code}`),
  ]);
  t.is(outcome, 'answered 200');
  await stopped;
});
