import { createServer, type AddressInfo, type Socket } from 'node:net';
import { SystemClock } from '@canvasridge/clock';
import { FleetState } from '@canvasridge/serving';
import { LimitedEvents, Telemetry } from '@canvasridge/telemetry';
import type { ExecutionContext } from 'ava';
import { BackendConnections } from '../src/backends/backend-connections.js';
import { GatewayMetrics } from '../src/gateway-metrics.js';
import { RelayServer } from '../src/relay/relay-server.js';
import { BackendHops } from '../src/request/backend-hops.js';
import { BodyMemoryBudget } from '../src/request/body-memory-budget.js';
import { PendingBodies } from '../src/request/pending-bodies.js';
import { ReadTurns } from '../src/request/read-turns.js';
import { ResponseMemoryBudget } from '../src/request/response-memory-budget.js';
import { SERVICE, configuration, dialect } from './harness.js';
import { RawBackend, type RawResponder } from './raw-backend.js';

/** Memory of a relay for responses. */
export const RESPONSE_MEMORY_BYTES = 1_000_000;

/** What relays requests of other nodes to one backend. */
export interface RunningRelay {
  readonly backend: RawBackend;
  readonly fleet: FleetState;
  readonly port: number;
  isListTooOld: boolean;
  /** What each request fails with before it is sent; undefined for nothing. */
  defect: Error | undefined;
  readonly server: RelayServer;
  readonly responseMemory: ResponseMemoryBudget;
}

export async function startRelay(t: ExecutionContext, respond: RawResponder): Promise<RunningRelay> {
  const clock = new SystemClock();
  const telemetry = new Telemetry({ processName: 'test', clock });
  const fleet = new FleetState();
  fleet.applyConfiguration(configuration({}));
  const backend = await RawBackend.start(respond);
  fleet.applyBackend(1, backend.description('i1', SERVICE));
  const connections = new BackendConnections();
  const paths = {
    state: () => 'working' as const,
    beginWait: () => undefined,
    endWait: () => undefined,
    received: () => undefined,
  };
  const relays = { open: () => Promise.resolve(undefined) };
  const responseMemory = new ResponseMemoryBudget(RESPONSE_MEMORY_BYTES, clock, { event: () => undefined });
  const server = new RelayServer({
    fleet,
    hops: new BackendHops({ clock, connections, paths, relays, fleetShare: () => 1 }),
    availability: { isBackingOff: () => false },
    notices: { handleNotice: () => undefined },
    dialect,
    readTurns: new ReadTurns(),
    bodies: new PendingBodies({
      memory: new BodyMemoryBudget(1_000_000),
      clock,
      unreadMs: () => 0,
      events: new LimitedEvents(telemetry, clock),
    }),
    responseMemory,
    isListTooOld: () => running.isListTooOld,
    isStopping: () => {
      if (running.defect !== undefined) throw running.defect;
      return false;
    },
    telemetry,
    metrics: new GatewayMetrics(),
  });
  const listener = createServer((socket: Socket) => server.accept(socket));
  await new Promise<void>((resolve) => listener.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    listener.close();
    connections.close();
    backend.stop();
  });
  const { port } = listener.address() as AddressInfo;
  const running: RunningRelay = {
    backend,
    fleet,
    port,
    server,
    isListTooOld: false,
    defect: undefined,
    responseMemory,
  };
  return running;
}
