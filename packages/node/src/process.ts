import { randomBytes } from 'node:crypto';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Random, SystemClock, hashSeed } from '@canvasridge/clock';
import { HttpPeerCaller, UdpTransport, type MemberIdentity } from '@canvasridge/membership';
import {
  HttpConfigurationSource,
  HttpEngineClient,
  HttpForwardClient,
  HttpMachineList,
  HttpServiceClient,
  newHttpAgent,
} from '@canvasridge/http-bindings';
import { ExitCode, type ListenAddress } from '@canvasridge/settings';
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
import { peerListener } from './http/peer-server.js';
import { EntryNode } from './node.js';
import type { NodeSettings } from './settings.js';

/** Why a node process could not start; `field` is the setting with the address. */
export interface StartError {
  readonly kind: 'cannot-listen';
  readonly field: string;
  readonly address: string;
  readonly reason: string;
}

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

/** Binds the sockets, then starts the node. */
export async function startNodeProcess(settings: NodeSettings): Promise<Result<NodeProcess, StartError>> {
  const { callers, peers, gossip } = settings.listen;
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
  const transport = await UdpTransport.bind(gossip.host, gossip.port, settings.peerKey, events);
  if (transport.isErr()) {
    const { address, reason } = transport.error;
    return err({ kind: 'cannot-listen', field: 'listen.gossip', address, reason });
  }
  const callerServer = createServer({ keepAliveTimeout: 30_000 });
  const peerServer = createServer({ keepAliveTimeout: 30_000 });
  const callersBound = await listen(callerServer, callers, 'listen.callers');
  if (callersBound.isErr()) return err(callersBound.error);
  const peersBound = await listen(peerServer, peers, 'listen.peers');
  if (peersBound.isErr()) return err(peersBound.error);
  const identity: MemberIdentity = {
    ...settings.node,
    gossip: settings.advertise.gossip ?? transport.value.localAddress,
    peerUrl: settings.advertise.peersUrl ?? peersBound.value,
    callerUrl: settings.advertise.callersUrl ?? callersBound.value,
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
      transport: transport.value,
      peers: peerCaller,
      forward: new HttpForwardClient(agent, identity.id, settings.peerKey),
      configuration: new HttpConfigurationSource(settings.platform.configurationUrl, agent),
      machines: new HttpMachineList(settings.platform.machineListUrl, agent),
      services: new HttpServiceClient(agent),
      newEngineClient: (engine) => new HttpEngineClient(engine.url, agent),
    },
  });
  callerServer.on(
    'request',
    callerListener({
      requests: node.requests,
      directory: node.directory,
      bodyLimit: () => node.bodyLimit,
      telemetry,
      state: () => node.state,
    }),
  );
  peerServer.on(
    'request',
    peerListener({
      rpc: node.rpc,
      forward: node.forwardHandler,
      admin: node.admin,
      bodyLimit: () => node.bodyLimit,
      telemetry,
      peerKey: settings.peerKey,
      adminKey: settings.adminKey,
    }),
  );
  node.start();
  telemetry.event('info', 'node.started', identity.id, {
    callers: callersBound.value,
    peers: peersBound.value,
    gossip: transport.value.localAddress,
  });
  const stop = async (): Promise<void> => {
    const { lingerSeconds, limitSeconds } = settings.drain;
    await node.stop(lingerSeconds * 1000, limitSeconds * 1000);
    await closeServer(callerServer);
    await closeServer(peerServer);
    await peerCaller.close();
    await agent.destroy();
    telemetry.event('info', 'node.stopped', identity.id);
    telemetry.metrics.close();
  };
  return ok({
    node,
    callersUrl: callersBound.value,
    peersUrl: peersBound.value,
    gossip: transport.value.localAddress,
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

/** Starts listening and returns the URL of the bound address. */
function listen(server: Server, address: ListenAddress, field: string): Promise<Result<string, StartError>> {
  return new Promise((resolve) => {
    server.once('error', (cause) => {
      const text = `${address.host}:${address.port}`;
      resolve(err({ kind: 'cannot-listen', field, address: text, reason: cause.message }));
    });
    server.listen(address.port, address.host, () => {
      const bound = server.address() as AddressInfo;
      const host = bound.family === 'IPv6' ? `[${bound.address}]` : bound.address;
      resolve(ok(`http://${host}:${bound.port}`));
    });
  });
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
