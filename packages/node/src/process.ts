import { randomBytes } from 'node:crypto';
import type { Server } from 'node:http';
import { AddressBinder, type ListenError } from '@canvasridge/addresses';
import { Random, SystemClock, hashSeed } from '@canvasridge/clock';
import { HttpPeerCaller, type MemberIdentity } from '@canvasridge/membership';
import {
  HttpConfigurationSource,
  HttpEngineClient,
  HttpForwardClient,
  HttpMachineList,
  HttpServiceClient,
  newHttpAgent,
} from '@canvasridge/http-bindings';
import { ExitCode } from '@canvasridge/settings';
import {
  EventLogger,
  LimitedEvents,
  NullMetrics,
  StatsdMetrics,
  ProcessFailure,
  Telemetry,
  type Metrics,
} from '@canvasridge/telemetry';
import { err, ok, type Result } from 'neverthrow';
import { callerListener } from './http/caller-server.js';
import { limitConnections } from './http/connection-limit.js';
import type { ExchangeLimits } from './http/exchange.js';
import { MemoryBudget } from './http/memory-budget.js';
import { peerListener } from './http/peer-server.js';
import { oneAtATime, type Listener } from './http/request-order.js';
import { EntryNode } from './node.js';
import { countUnsentEnds } from './http/unsent-end.js';
import type { NodeSettings } from './settings.js';
import { bindNodeSockets } from './sockets.js';

const MS_PER_SECOND = 1000;
const BYTES_PER_MB = 1024 * 1024;
/** For the ends of the last responses, once all requests have ended. */
const CLOSE_TIMEOUT_MS = 1000;
/** Length of the random token that distinguishes a node's process from earlier ones with the same node id. */
const PROCESS_TOKEN_BYTES = 6;

/** A running node with its listening sockets. */
export interface NodeProcess {
  readonly node: EntryNode;
  readonly callersUrl: string;
  readonly peersUrl: string;
  readonly gossip: string;
  /** What the process does about errors that nothing catches; it watches for none yet. */
  readonly failure: ProcessFailure;
  /** Stops gracefully: drains, then resolves when all requests have ended or the time limit has passed. */
  stop(): Promise<void>;
}

/**
 * Binds the sockets, then starts the node.
 * @param stopping ends the wait for an address that is in use
 */
export async function startNodeProcess(
  settings: NodeSettings,
  stopping?: AbortSignal,
): Promise<Result<NodeProcess, ListenError>> {
  const clock = new SystemClock();
  const telemetry = new Telemetry({
    processName: settings.node.id,
    clock,
    logger: new EventLogger(settings.node.id, settings.log.level),
    metrics: newMetrics(settings),
  });
  const failure = new ProcessFailure({
    name: settings.node.id,
    telemetry,
    // Standard error is written at once.
    flush: () => undefined,
    exit: () => process.exit(ExitCode.failure),
  });
  const events = new LimitedEvents(telemetry, clock);
  const binder = new AddressBinder({
    clock,
    telemetry,
    timeoutMs: settings.startTimeoutSeconds * MS_PER_SECOND,
    ...(stopping === undefined ? {} : { signal: stopping }),
  });
  const bound = await bindNodeSockets(settings, binder, events);
  if (bound.isErr()) return err(bound.error);
  const { transport, callerServer, peerServer, callersUrl, peersUrl } = bound.value;
  const identity: MemberIdentity = {
    ...settings.node,
    gossip: settings.advertise.gossip ?? transport.localAddress,
    peerUrl: settings.advertise.peersUrl ?? peersUrl,
    callerUrl: settings.advertise.callersUrl ?? callersUrl,
    capacity: 0,
    processToken: randomBytes(PROCESS_TOKEN_BYTES).toString('hex'),
  };
  const agent = newHttpAgent();
  const peerCaller = new HttpPeerCaller(clock, settings.peerKey);
  const node = new EntryNode({
    identity,
    seeds: settings.seeds,
    peerKey: settings.peerKey,
    clock,
    random: new Random(hashSeed(identity.processToken)),
    telemetry,
    ports: {
      transport,
      peers: peerCaller,
      forward: new HttpForwardClient(agent, identity.id, settings.peerKey),
      configuration: new HttpConfigurationSource(settings.platform.configurationUrl, agent),
      machines: new HttpMachineList(settings.platform.machineListUrl, agent),
      services: new HttpServiceClient(agent),
      newEngineClient: (engine) => new HttpEngineClient(engine.url, agent),
    },
  });
  const limits: ExchangeLimits = {
    bodyLimit: () => node.bodyLimit,
    bodies: newBudget('body', settings.limits.bodiesMb, events),
    unsentAnswers: newBudget('answer', settings.limits.unsentAnswersMb, events),
  };
  const serve = (door: string, server: Server, connections: number, listener: Listener): void => {
    limitConnections(server, connections, door, events);
    const onTooMany = (): void => events.event('warn', 'connection.too-many-requests', door, {});
    server.on(
      'request',
      oneAtATime(countUnsentEnds(listener, limits.unsentAnswers), { budget: limits.bodies, onTooMany }),
    );
  };
  serve(
    'callers',
    callerServer,
    settings.limits.callerConnections,
    callerListener({
      requests: node.requests,
      directory: node.directory,
      limits,
      telemetry,
      state: () => node.state,
    }),
  );
  serve(
    'peers',
    peerServer,
    settings.limits.peerConnections,
    peerListener({
      rpc: node.rpc,
      forward: node.forwardHandler,
      admin: node.admin,
      limits,
      telemetry,
      peerKey: settings.peerKey,
      adminKey: settings.adminKey,
    }),
  );
  node.start();
  telemetry.event('info', 'node.started', identity.id, {
    callers: callersUrl,
    peers: peersUrl,
    gossip: transport.localAddress,
  });
  const stop = async (): Promise<void> => {
    const { lingerSeconds, limitSeconds } = settings.drain;
    await node.stop(lingerSeconds * MS_PER_SECOND, limitSeconds * MS_PER_SECOND);
    await closeServer(callerServer);
    await closeServer(peerServer);
    await peerCaller.close();
    await agent.destroy();
    telemetry.event('info', 'node.stopped', identity.id);
    telemetry.metrics.close();
  };
  return ok({
    node,
    callersUrl,
    peersUrl,
    gossip: transport.localAddress,
    failure,
    stop,
  });
}

function newMetrics(settings: NodeSettings): Metrics {
  const { statsd } = settings;
  return statsd === undefined
    ? new NullMetrics()
    : new StatsdMetrics(statsd.host, statsd.port, settings.node.id);
}

/** @param name of what the memory is for, in events */
function newBudget(name: 'body' | 'answer', limitMb: number, events: LimitedEvents): MemoryBudget {
  return new MemoryBudget({
    limitBytes: limitMb * BYTES_PER_MB,
    onGivenWay: (heldBytes, { usedBytes, limitBytes }) =>
      events.event('warn', `${name}.gave-way`, 'http', { heldBytes, usedBytes, limitBytes }),
    onRefused: (neededBytes, { usedBytes, limitBytes }) =>
      events.event('warn', `${name}.refused`, 'http', { neededBytes, usedBytes, limitBytes }),
  });
}

/** Closes idle connections now, and the others, such as those that never sent a request, after a while. */
function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => server.closeAllConnections(), CLOSE_TIMEOUT_MS);
    server.close(() => {
      clearTimeout(timer);
      resolve();
    });
    server.closeIdleConnections();
  });
}
