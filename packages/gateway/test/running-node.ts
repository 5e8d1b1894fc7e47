import { createServer, type AddressInfo } from 'node:net';
import { SystemClock } from '@canvasridge/clock';
import { FleetState } from '@canvasridge/serving';
import { DEFAULT_SLOT_TIMING } from '@canvasridge/slots';
import { EventLogger, Telemetry } from '@canvasridge/telemetry';
import type { ExecutionContext } from 'ava';
import { GatewayNode, NO_KEY_LEASE } from '../src/index.js';
import { SERVICE, configuration, dialect, type RouteChanges } from './harness.js';
import { RawBackend, type RawAnswer } from './raw-backend.js';

const LOOPBACK = '127.0.0.1';

export interface RunningNodeOptions {
  readonly route?: RouteChanges;
  /** Time that a planned stop may take. */
  readonly graceMs: number;
}

/** A whole node on real sockets before one backend. */
export interface RunningNode {
  readonly node: GatewayNode;
  readonly port: number;
  /** Requests that the backend got, by the names that their callers gave them. */
  readonly attempts: readonly string[];
  /** Log lines of the node. */
  readonly lines: readonly string[];
}

async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Starts a node with one route, to a backend that answers as told. Who starts it stops it. */
export async function startNode(
  t: ExecutionContext,
  { route = {}, graceMs }: RunningNodeOptions,
  answer: RawAnswer,
): Promise<RunningNode> {
  const attempts: string[] = [];
  const lines: string[] = [];
  const backend = await RawBackend.start((socket, attemptId, head) => {
    attempts.push(attemptId);
    answer(socket, attemptId, head);
  });
  const clock = new SystemClock();
  const fleet = new FleetState();
  fleet.applyConfiguration(configuration({ timeoutMs: 60_000, ...route }));
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
      memoryBytes: 256 * 1024 * 1024,
      keyLease: NO_KEY_LEASE,
      quotaTolerance: undefined,
      stopGraceMs: graceMs,
      firstStart: true,
    },
    seeds: () => [],
    clock,
    telemetry: new Telemetry({
      processName: 'test',
      clock,
      logger: new EventLogger('test', 'info', (line) => lines.push(line)),
    }),
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
  return { node: node.value, port, attempts, lines };
}
