/** Planned stop of a complete gateway node on real sockets. */
import { Agent, request, type IncomingMessage } from 'node:http';
import test, { type ExecutionContext } from 'ava';
import type { GatewayNode } from '../src/index.js';
import { HOST } from './harness.js';
import { success } from './raw-backend.js';
import { startNode } from './running-node.js';

const LOOPBACK = '127.0.0.1';
const GRACE_MS = 3000;

interface Running {
  readonly node: GatewayNode;
  readonly port: number;
  /** Resolves when the request has reached the backend. */
  readonly arrived: Promise<void>;
  /** Makes the backend respond. */
  readonly answer: () => void;
}

async function start(t: ExecutionContext): Promise<Running> {
  let arrive = (): void => undefined;
  const arrived = new Promise<void>((resolve) => {
    arrive = resolve;
  });
  let answer = (): void => undefined;
  const { node, port } = await startNode(t, { graceMs: GRACE_MS }, (socket, attemptId) => {
    answer = () => socket.write(success(attemptId, 'answer'));
    arrive();
  });
  return { node, port, arrived, answer: () => answer() };
}

function call(
  port: number,
  agent: Agent,
): Promise<{ status: number; body: string; headers: IncomingMessage['headers'] }> {
  return new Promise((resolve, reject) => {
    const headers = { host: HOST, 'attempt-id': 'a1' };
    const outgoing = request(
      { host: LOOPBACK, port, method: 'POST', path: '/x/', headers, agent },
      (incoming) => {
        let body = '';
        incoming.setEncoding('utf8');
        incoming.on('data', (part: string) => {
          body += part;
        });
        incoming.on('end', () =>
          resolve({ status: incoming.statusCode ?? 0, body, headers: incoming.headers }),
        );
        incoming.on('error', reject);
      },
    );
    outgoing.on('error', reject);
    outgoing.end('question');
  });
}

test('a planned stop answers running requests, asks clients to close, and accepts no more connections', async (t) => {
  const { node, port, arrived, answer } = await start(t);
  const agent = new Agent({ keepAlive: true });
  t.teardown(() => agent.destroy());
  t.true(node.ready);
  const answered = call(port, agent);
  await arrived;
  const stopped = node.stop();
  t.false(node.ready);
  answer();
  const seen = await answered;
  t.is(seen.status, 200);
  t.is(seen.body, 'answer');
  t.is(seen.headers.connection, 'close');
  await stopped;
  await t.throwsAsync(call(port, new Agent()), { code: 'ECONNREFUSED' });
});
