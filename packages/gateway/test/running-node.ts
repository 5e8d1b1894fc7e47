import { createServer } from 'node:net';
import { AddressBinder } from '@canvasridge/addresses';
import { SystemClock, type Clock } from '@canvasridge/clock';
import { FleetState, type Tenant } from '@canvasridge/serving';
import { DEFAULT_SLOT_TIMING } from '@canvasridge/slots';
import { EventLogger, Telemetry } from '@canvasridge/telemetry';
import type { ExecutionContext } from 'ava';
import { GatewayNode, NO_KEY_LEASE, type KeyLease } from '../src/index.js';
import type { RequestDialect } from '../src/request/dialect.js';
import { SERVICE, configuration, dialect as testDialect, type RouteOverrides } from './harness.js';
import { RawBackend, type RawResponder } from './raw-backend.js';

const LOOPBACK = '127.0.0.1';
/** Grace period for a planned stop of the nodes of a fleet, short so that tests end soon. */
const FLEET_GRACE_MS = 800;

export interface RunningNodeOptions {
  readonly route?: RouteOverrides;
  /** If the configuration has tenants: the tenants, and how long a node may rely on that configuration. */
  readonly tenants?: { readonly all: readonly Tenant[]; readonly lease: KeyLease };
  readonly clock?: Clock;
  readonly dialect?: RequestDialect;
  /** Grace period for a planned stop, in milliseconds. */
  readonly graceMs: number;
}

/** A complete gateway node on real sockets, in front of one backend. */
export interface RunningNode {
  readonly node: GatewayNode;
  readonly port: number;
  /** For connections and datagrams of other nodes. */
  readonly peerPort: number;
  /** Attempt ids of the requests that reached the backend. */
  readonly attempts: readonly string[];
  /** Log lines of the node. */
  readonly lines: readonly string[];
}

/** Ports below those that the operating system gives to outgoing connections, which would take one that is free now. */
const FIRST_PORT = 10_000;
const PORTS = 20_000;
let nextPort = FIRST_PORT + Math.floor(Math.random() * PORTS);

async function freePort(): Promise<number> {
  for (;;) {
    const port = nextPort;
    nextPort = port + 1 < FIRST_PORT + PORTS ? port + 1 : FIRST_PORT;
    if (await isFree(port)) return port;
  }
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  const isListening = await new Promise<boolean>((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, LOOPBACK, () => resolve(true));
  });
  if (isListening) await new Promise((resolve) => server.close(resolve));
  return isListening;
}

/** Starts a node with one route to a scripted backend. The caller has to stop the node. */
export async function startNode(
  t: ExecutionContext,
  { route = {}, graceMs, tenants, clock, dialect }: RunningNodeOptions,
  answer: RawResponder,
): Promise<RunningNode> {
  const attempts: string[] = [];
  const backend = await RawBackend.start((socket, attemptId, head) => {
    attempts.push(attemptId);
    answer(socket, attemptId, head);
  });
  t.teardown(() => backend.stop());
  const fleet = new FleetState();
  fleet.applyConfiguration(configuration({ timeoutMs: 60_000, ...route }, tenants?.all));
  fleet.applyBackend(1, backend.description('i1', SERVICE));
  const nodeSettings = { nodeId: 'n1', peerPort: await freePort(), seeds: [], graceMs };
  const started = await startGateway(fleet, nodeSettings, clock, tenants?.lease, dialect);
  return { ...started, attempts };
}

/** Nodes of one cluster in front of the same backends. */
export interface RunningFleet {
  readonly nodes: readonly Omit<RunningNode, 'attempts'>[];
  readonly backends: readonly RawBackend[];
  /** Starts one more node, which knows only the addresses of the others. */
  readonly add: () => Promise<Omit<RunningNode, 'attempts'>>;
  /** Lists a backend as a new start of its process, under a new id. */
  readonly relist: (index: number) => void;
  /** Stops all nodes as planned, before the test ends. */
  readonly stop: () => Promise<void>;
}

/** Starts the given numbers of nodes and backends; all are stopped when the test ends. */
export async function startFleet(
  t: ExecutionContext,
  counts: { readonly nodes: number; readonly backends: number },
  route: RouteOverrides,
  answer: RawResponder,
  graceMs = FLEET_GRACE_MS,
): Promise<RunningFleet> {
  const backends: RawBackend[] = [];
  for (let index = 0; index < counts.backends; index += 1) backends.push(await RawBackend.start(answer));
  t.teardown(() => backends.forEach((backend) => backend.stop()));
  const nodes: Omit<RunningNode, 'attempts'>[] = [];
  const fleets: FleetState[] = [];
  const ids = backends.map((_, index) => `i${index}`);
  let revision = 0;
  const list = (fleet: FleetState, index: number): void => {
    const backend = backends[index];
    revision += 1;
    if (backend !== undefined) fleet.applyBackend(revision, backend.description(ids[index] ?? '', SERVICE));
  };
  const relist = (index: number): void => {
    const former = ids[index] ?? '';
    ids[index] = `${former}.`;
    for (const fleet of fleets) {
      revision += 1;
      fleet.removeBackend(revision, former);
      list(fleet, index);
    }
  };
  const seeds: string[] = [];
  const stopped = new Map<GatewayNode, Promise<void>>();
  const stopOnce = (node: GatewayNode): Promise<void> => {
    const stopping = stopped.get(node) ?? node.stop();
    stopped.set(node, stopping);
    return stopping;
  };
  const stop = async (): Promise<void> => {
    await Promise.all(nodes.map(({ node }) => stopOnce(node)));
  };
  const add = async (): Promise<Omit<RunningNode, 'attempts'>> => {
    const fleet = new FleetState();
    fleet.applyConfiguration(configuration({ timeoutMs: 60_000, ...route }));
    backends.forEach((_, index) => list(fleet, index));
    fleets.push(fleet);
    const peerPort = await freePort();
    const nodeId = `n${seeds.length}`;
    const started = await startGateway(fleet, {
      nodeId,
      peerPort,
      seeds: [...seeds],
      graceMs,
    });
    t.teardown(() => stopOnce(started.node));
    seeds.push(`${LOOPBACK}:${peerPort}`);
    nodes.push(started);
    return started;
  };
  while (nodes.length < counts.nodes) await add();
  return { nodes, backends, add, relist, stop };
}

interface NodeSettings {
  readonly nodeId: string;
  readonly peerPort: number;
  readonly seeds: readonly string[];
  readonly graceMs: number;
}

async function startGateway(
  fleet: FleetState,
  nodeSettings: NodeSettings,
  clock: Clock = new SystemClock(),
  keyLease: KeyLease = NO_KEY_LEASE,
  dialect: RequestDialect = testDialect,
): Promise<Omit<RunningNode, 'attempts'>> {
  const lines: string[] = [];
  const port = await freePort();
  const telemetry = new Telemetry({
    processName: nodeSettings.nodeId,
    clock,
    logger: new EventLogger(nodeSettings.nodeId, 'info', (line) => lines.push(line)),
  });
  const node = await GatewayNode.start({
    settings: {
      nodeId: nodeSettings.nodeId,
      zone: 'a',
      region: 'r',
      ip: LOOPBACK,
      frontPort: port,
      peerPort: nodeSettings.peerPort,
      peerKey: 'k',
      capacity: 1,
      retryBudget: { ratio: 0.2, windowMs: 10_000, slack: 50 },
      switchedOff: new Set(),
      engineFences: { checked: false, settledAfterMs: 3000 },
      slotTiming: { ...DEFAULT_SLOT_TIMING, leaseMs: 3000 },
      drainMs: 2000,
      memoryBytes: 256 * 1024 * 1024,
      keyLease,
      quotaTolerance: undefined,
      stopGraceMs: nodeSettings.graceMs,
      firstStart: true,
    },
    seeds: () => nodeSettings.seeds,
    clock,
    telemetry,
    binder: new AddressBinder({ clock: new SystemClock(), telemetry, timeoutMs: 0 }),
    dialect,
    control: {
      onNotice: () => undefined,
      report: () => Promise.resolve(undefined),
      order: () => Promise.resolve({ kind: 'unknown', detail: 'none here' }),
    },
    fleet,
    droppedLogLines: () => 0,
  });
  if (node.isErr()) throw new Error(node.error.reason);
  return { node: node.value, port, peerPort: nodeSettings.peerPort, lines };
}
