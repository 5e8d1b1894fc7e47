/** A whole node on real sockets that is stopped as planned. */
import { Agent, request, type IncomingMessage } from 'node:http';
import { createServer, type AddressInfo } from 'node:net';
import { SystemClock } from '@canvasridge/clock';
import { FleetState } from '@canvasridge/serving';
import { DEFAULT_SLOT_TIMING } from '@canvasridge/slots';
import { Telemetry } from '@canvasridge/telemetry';
import test, { type ExecutionContext } from 'ava';
import { GatewayNode } from '../src/index.js';
import { HOST, SERVICE, configuration, dialect } from './harness.js';
import { RawBackend, success } from './raw-backend.js';

const LOOPBACK = '127.0.0.1';
const GRACE_MS = 3000;

interface Running {
  readonly node: GatewayNode;
  readonly port: number;
  /** The backend has the request. */
  readonly arrived: Promise<void>;
  /** Lets the backend answer. */
  readonly answer: () => void;
}

async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

async function start(t: ExecutionContext): Promise<Running> {
  let arrive = (): void => undefined;
  const arrived = new Promise<void>((resolve) => {
    arrive = resolve;
  });
  let answer = (): void => undefined;
  const backend = await RawBackend.start((socket, attemptId) => {
    answer = () => socket.write(success(attemptId, 'answer'));
    arrive();
  });
  const clock = new SystemClock();
  const fleet = new FleetState();
  fleet.applyConfiguration(configuration({ timeoutMs: 60_000 }));
  fleet.applyBackend(1, backend.description('i1', SERVICE));
  const port = await freePort();
  const node = await GatewayNode.start({
    settings: {
      nodeId: 'n1',
      zone: 'a',
      region: 'r',
      ip: LOOPBACK,
      frontPort: port,
      peerPort: await freePort(),
      peerKey: 'k',
      capacity: 1,
      retryBudget: { ratio: 0.2, windowMs: 10_000, slack: 50 },
      switchedOff: new Set(),
      engineFences: { checked: false, settledAfterMs: 3000 },
      slotTiming: { ...DEFAULT_SLOT_TIMING, leaseMs: 3000 },
      drainMs: 2000,
      stopGraceMs: GRACE_MS,
      firstStart: true,
    },
    seeds: () => [],
    clock,
    telemetry: new Telemetry({ processName: 'test', clock }),
    dialect,
    control: {
      report: () => Promise.resolve(undefined),
      order: () => Promise.resolve({ kind: 'unknown', detail: 'none here' }),
    },
    fleet,
    droppedLines: () => 0,
  });
  if (node.isErr()) throw new Error(node.error.reason);
  t.teardown(() => backend.stop());
  return { node: node.value, port, arrived, answer: () => answer() };
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

test('a planned stop answers what runs, asks clients to close, and takes no more connections', async (t) => {
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
