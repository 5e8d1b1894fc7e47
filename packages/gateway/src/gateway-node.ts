import { randomBytes } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer, type Server } from 'node:net';
import { descriptorLimit, type ListenError } from '@canvasridge/addresses';
import type { QuotaRule } from '@canvasridge/admission';
import { ContinuousClock, Random, ReadDelay, hashSeed, type ReadDelayTiming } from '@canvasridge/clock';
import { UdpTransport } from '@canvasridge/membership';
import {
  VersionGrace,
  type Departure,
  type FleetState,
  type HttpRoute,
  type NewEra,
} from '@canvasridge/serving';
import {
  LimitedEvents,
  MemoryWatch,
  errorFields,
  keepRunning,
  runInBackground,
} from '@canvasridge/telemetry';
import { err, ok, type Result } from 'neverthrow';
import { AdapterVersionCheck } from './backends/adapter-version-check.js';
import { BackendAvailability } from './backends/backend-availability.js';
import { BackendBackoffs } from './backends/backend-backoffs.js';
import { BackendConnections } from './backends/backend-connections.js';
import { BackendRateLimits } from './backends/backend-rate-limits.js';
import { BackendNotices } from './backends/backend-notices.js';
import { RejectionLimits } from './backends/rejection-limits.js';
import { GrantedBackendPicker } from './backends/granted-backend-picker.js';
import { LeastLoadedPicker } from './backends/least-loaded-picker.js';
import { RetryBudget } from './backends/retry-budget.js';
import { SlotPicker } from './backends/slot-picker.js';
import { ClientServer, refuse } from './client-server.js';
import { Cluster, RESTARTED_PREFIX } from './cluster/cluster.js';
import { Directory } from './cluster/directory.js';
import {
  ACQUIRE_METHOD,
  CANCEL_METHOD,
  DECIDED_METHOD,
  RATE_LIMIT_METHOD,
  RELEASE_METHOD,
  STARTED_METHOD,
  USES_METHOD,
  acquireParams,
  rateLimitParams,
  releaseParams,
  startedParams,
  usesParams,
} from './cluster/slot-protocol.js';
import { SlotService } from './cluster/slot-service.js';
import { holderNumber } from './cluster/holder-number.js';
import {
  BACKEND_RATES,
  BORROW_METHOD,
  FleetQuotas,
  RATE_BORROW_METHOD,
  TENANT_QUOTAS,
  borrowParams,
  rateBorrowParams,
  widenRule,
} from './cluster/fleet-quotas.js';
import { PublishedState, publishedMethods } from './cluster/published-state.js';
import {
  COMPLETED_METHOD,
  ENDED_WELL_METHOD,
  FleetQuarantine,
  INTERRUPTED_METHOD,
  TRIAL_METHOD,
} from './cluster/fleet-quarantine.js';
import { endedWellParams, interruptedParams, trialParams } from './cluster/quarantine-protocol.js';
import { PART_CRASHES_METHOD, PART_RUNS_METHOD } from './cluster/part-crash-protocol.js';
import { FleetShare } from './cluster/fleet-share.js';
import { LoopLag } from './cluster/loop-lag.js';
import { routeChanges } from './cluster/route-changes.js';
import type { GatewayOptions } from './gateway-settings.js';
import { GatewayMetrics } from './gateway-metrics.js';
import { peerLimits } from './peers/peer-limits.js';
import { PeerNetwork } from './peers/peer-network.js';
import type { PeerMethods } from './peers/peer-connection.js';
import { PeerParams } from './peers/peer-params.js';
import { BodyMemoryBudget } from './request/body-memory-budget.js';
import { ResponseMemoryBudget } from './request/response-memory-budget.js';
import { Exchange } from './request/exchange.js';
import type { ExchangeContext } from './request/exchange-context.js';
import { PendingBodies } from './request/pending-bodies.js';
import { ReadTurns } from './request/read-turns.js';
import { ServingOutage } from './request/serving-outage.js';
import { BackendAccess } from './paths/backend-access.js';
import { httpProbe } from './paths/http-probe.js';
import { REACHES_METHOD } from './relay/relay-protocol.js';
import { RelayServer } from './relay/relay-server.js';
import { ReportedRuns } from './streams/reported-runs.js';
import { RunRecordingControl } from './streams/run-recording-control.js';
import { ServiceVersions } from './streams/service-versions.js';
import { BEGAN_METHOD, FIND_METHOD } from './streams/stream-version-protocol.js';
import { StreamVersions } from './streams/stream-versions.js';

/**
 * Share of the stop grace period in which new requests are still accepted, as callers learn of the stop
 * late.
 */
const ACCEPTING_SHARE = 0.31;
/** Reserved at the end of the stop grace period. */
const STOP_MARGIN_MS = 350;
const STOP_POLL_MS = 50;
const PROCESS_TOKEN_BYTES = 6;
/** Share of the process's memory for request bodies: 37 MB of 250, beside a heap of at most 128 MB. */
const BODY_MEMORY_SHARE = 0.15;
/** Share of it for responses that wait for their backends or clients. */
const RESPONSE_MEMORY_SHARE = 0.1;
/** Share of the process's memory for pipelined requests that wait for the responses before them. */
const WAITING_MEMORY_SHARE = 0.03;
const SECOND_MS = 1000;
/**
 * How long requests may have lain unread: shorter stalls do not matter, as backends may work that much longer; after a
 * stall, connections that waited are accepted for some time.
 */
const READ_DELAY_TIMING: ReadDelayTiming = { periodMs: 100, minStallMs: 400, settleMs: 500 };

/** What a node listens with. */
interface GatewaySockets {
  readonly transport: UdpTransport;
  readonly peers: Server;
  readonly clients: ClientServer;
}

/** A gateway node, which accepts requests from clients and forwards them to backends unchanged. */
export class GatewayNode {
  readonly fleet: FleetState;
  readonly metrics = new GatewayMetrics();
  readonly directory: Directory;
  /**
   * Clock for information from other nodes and for permissions that they gave to this node: it also runs
   * while the machine is suspended, so that these expire. Single requests, and waits for the end of
   * permissions that other nodes hold, use the monotonic clock.
   */
  readonly fleetClock: ContinuousClock;
  /**
   * What this node knows of the published state; the component that reads the store updates it. Its times
   * are those of `fleetClock`.
   */
  readonly published: PublishedState;
  readonly #options: GatewayOptions;
  readonly #cluster: Cluster;
  readonly #network: PeerNetwork;
  readonly #slots: SlotService;
  readonly #connections = new BackendConnections();
  readonly #clients: ClientServer;
  readonly #loopLag: LoopLag;
  readonly #readDelay: ReadDelay;
  readonly #memory: MemoryWatch;
  /** Routes of the configuration that was applied last. */
  #loggedRoutes: readonly HttpRoute[] = [];
  readonly #fleetShare: FleetShare;
  readonly #quotas: FleetQuotas;
  readonly #backendRates: FleetQuotas;
  readonly #quarantine: FleetQuarantine;
  readonly #rejectionLimits: RejectionLimits;
  readonly #streamVersions: StreamVersions;
  readonly #access: BackendAccess;
  readonly #relayServer: RelayServer;
  readonly #retryBudgets = new Map<string, RetryBudget>();
  readonly #context: ExchangeContext;
  readonly #exchanges = new Set<Exchange>();
  /** Time at which running requests are ended, once this node is stopping. */
  #stopDeadlineMs = Infinity;
  #stopping = false;
  #nextId = 0;

  private constructor(options: GatewayOptions, { transport, peers, clients }: GatewaySockets) {
    this.#options = options;
    this.#clients = clients;
    this.fleet = options.fleet;
    const { settings, clock, telemetry } = options;
    const fleetClock = new ContinuousClock(clock);
    this.fleetClock = fleetClock;
    const prefix = settings.firstStart ? '' : RESTARTED_PREFIX;
    const processToken = prefix + randomBytes(PROCESS_TOKEN_BYTES).toString('hex');
    const random = new Random(hashSeed(processToken));
    this.#network = new PeerNetwork(
      this.#peerMethods(new PeerParams(telemetry)),
      (peer) => this.#slots.answers.onPeerClosed(peer),
      (address) => this.#cluster.peerRefused(address),
      (socket) => this.#relayServer.accept(socket),
      telemetry,
      peers,
      peerLimits(settings.memoryBytes, settings.maxDescriptors ?? descriptorLimit()),
      (host) => this.#cluster.hasMemberAt(host),
    );
    this.#cluster = new Cluster({
      nodeId: settings.nodeId,
      zone: settings.zone,
      region: settings.region,
      peerAddress: `${settings.ip}:${settings.peerPort}`,
      frontAddress: `${settings.ip}:${settings.frontPort}`,
      processToken,
      capacity: settings.capacity,
      transport,
      clock,
      random,
      telemetry,
      seeds: options.seeds,
      configurationVersion: () => this.fleet.configurationVersion,
      onPeerVersion: (address, version, zone) => this.published.handlePeerVersion(address, version, zone),
      onQuarantine: () => this.#quarantine.update(),
    });
    const { fleet } = this;
    const reportedRuns = new ReportedRuns(fleetClock);
    this.#access = new BackendAccess({
      clock,
      fleetClock,
      random,
      fleet,
      cluster: this.#cluster,
      network: this.#network,
      connections: this.#connections,
      control: new RunRecordingControl(options.control, reportedRuns),
      probe: httpProbe(options.dialect.probePath, telemetry),
      fleetShare: () => this.#fleetShare.value,
      isStopping: () => this.#stopping,
      telemetry,
      metrics: this.metrics,
    });
    const { paths, fleetPaths, responsiveness, hops, control } = this.#access;
    const versionGrace = new VersionGrace({ clock: fleetClock, fleet, boundMs: settings.adapterVersionMs });
    const adapterVersions = new AdapterVersionCheck(fleet, versionGrace);
    this.directory = new Directory(this.#cluster, () => this.#slots.leaders(), fleetPaths);
    this.#fleetShare = new FleetShare(clock, this.directory, settings.nodeId);
    this.published = new PublishedState({
      ...settings,
      clock: fleetClock,
      random,
      telemetry,
      metrics: this.metrics,
      fleet,
      cluster: this.#cluster,
      network: this.#network,
      needsWholeState: () => this.#slots.hasEngineRole,
    });
    const backoffs = new BackendBackoffs(clock);
    const rateLimits = new BackendRateLimits({ clock, admit: (id) => this.#backendRates.admit(id, 1) });
    const availability = new BackendAvailability({
      fleet,
      backoffs,
      rateLimits,
      clock,
      hasOtherServingNodes: () => this.#cluster.serving().length > 1,
    });
    const rejectionLimits = new RejectionLimits({ clock, cluster: this.#cluster, telemetry });
    this.#rejectionLimits = rejectionLimits;
    const notices = new BackendNotices({
      fleet,
      backoffs,
      rateLimits,
      rejectionLimits,
      onRateLimit: (id, perSecond) => this.#slots.requester.onRateLimitAnnounced(id, perSecond),
      clock,
      telemetry,
      metrics: this.metrics,
    });
    control.onNotice((id, notice) => notices.handleNotice(id, notice, false));
    this.#slots = new SlotService({
      clock,
      fleetClock,
      random,
      fleet,
      versionGrace,
      cluster: this.#cluster,
      network: this.#network,
      control,
      paths,
      fleetPaths,
      availability,
      rateLimits,
      rejectionLimits,
      timing: settings.slotTiming,
      engineFences: settings.engineFences,
      switchedOff: settings.switchedOff,
      holder: { name: settings.nodeId, number: holderNumber(settings.ip) },
      telemetry,
      onUsesHeld: (peer, bytes) => peer.holdUses(bytes),
    });
    this.#backendRates = new FleetQuotas({
      kind: BACKEND_RATES,
      clock,
      cluster: this.#cluster,
      network: this.#network,
      telemetry,
      rules: (id) => rateLimits.rule(id),
      // All nodes have to agree on one home, and each knows of different limits; so there is a single
      // home.
      subjectCount: () => 1,
      fleetShare: () => this.#fleetShare.value,
    });
    this.#quotas = new FleetQuotas({
      kind: TENANT_QUOTAS,
      clock,
      cluster: this.#cluster,
      network: this.#network,
      telemetry,
      rules: (tenant) => this.#quotaRule(tenant),
      subjectCount: () => fleet.routes?.tenants?.size ?? 0,
      fleetShare: () => this.#fleetShare.value,
    });
    this.#quarantine = new FleetQuarantine({
      clock: fleetClock,
      random,
      suspendedMs: () => fleetClock.suspendedMs,
      cluster: this.#cluster,
      network: this.#network,
      telemetry,
    });
    this.#streamVersions = new StreamVersions({
      clock: fleetClock,
      cluster: this.#cluster,
      network: this.#network,
      telemetry,
      versions: new ServiceVersions({
        clock: fleetClock,
        fleet,
        listAgeMs: () => this.published.listAgeMs,
      }),
      reportedRuns,
    });
    const outage = new ServingOutage({
      clock: fleetClock,
      published: this.published,
      cluster: this.#cluster,
      random: () => random.next(),
      switchedOff: settings.switchedOff,
    });
    const bodyEvents = new LimitedEvents(telemetry, clock);
    this.#context = {
      clock,
      dialect: options.dialect,
      fleet,
      connections: this.#connections,
      hops,
      paths,
      fleetPaths,
      responsiveness,
      notices,
      availability,
      plainPicker: new GrantedBackendPicker(
        fleet,
        availability,
        this.#slots.requester,
        new LeastLoadedPicker(fleet, availability, clock, random),
        clock,
        settings.zone,
      ),
      adapterVersions,
      enginePicker: new SlotPicker(
        fleet,
        availability,
        adapterVersions,
        this.#slots.requester,
        clock,
        settings.zone,
      ),
      budget: (service) => this.#retryBudget(service),
      isStopping: () => this.#stopping,
      stopsInMs: () => this.#stopDeadlineMs - clock.now(),
      nextId: () => `${processToken}/${(this.#nextId += 1)}`,
      random: () => random.next(),
      listAgeMs: () => this.published.listAgeMs,
      outageRetryMs: (cause, callerLeftMs) => outage.retryAfterMs(cause, callerLeftMs),
      lagMs: () => this.#loopLag.meanMs,
      unreadMs: () => this.#readDelay.maxMs,
      isListTooOld: () => this.published.isListTooOld,
      refreshIfOld: () => this.published.refreshIfOld(),
      configurationLease: () => this.published.configurationLease,
      quotas: this.#quotas,
      quarantine: this.#quarantine,
      partCrashes: this.#quarantine.parts,
      streamVersions: this.#streamVersions,
      bodies: new PendingBodies({
        memory: new BodyMemoryBudget(settings.memoryBytes * BODY_MEMORY_SHARE),
        clock,
        unreadMs: () => this.#readDelay.maxMs,
        events: bodyEvents,
      }),
      readTurns: new ReadTurns(),
      bodyEvents,
      responseMemory: new ResponseMemoryBudget(
        settings.memoryBytes * RESPONSE_MEMORY_SHARE,
        clock,
        telemetry,
      ),
      telemetry,
      metrics: this.metrics,
    };
    this.#relayServer = new RelayServer({ ...this.#context, hops });
    const { nodeId: name, memoryBytes: limitBytes } = settings;
    this.#memory = new MemoryWatch({ name, limitBytes, clock, telemetry });
    this.#readDelay = new ReadDelay(clock, READ_DELAY_TIMING);
    this.#loopLag = new LoopLag(clock, (busy) => this.#onBusyChanged(busy));
    fleet.onChange((change) => this.#onFleetChanged(change));
    fleet.onDeparture((departure) => this.#onDeparture(departure));
    fleet.onNewEra((era) => this.#onNewEra(era));
  }

  /** Binds the sockets and starts all tasks. */
  static async start(options: GatewayOptions): Promise<Result<GatewayNode, ListenError>> {
    const started: { node?: GatewayNode } = {};
    const clients = new ClientServer(
      (request, response, waitedMs) => {
        if (started.node === undefined) refuse(response);
        else started.node.#serve(request, response, waitedMs);
      },
      options.telemetry,
      {
        maxConnections: options.settings.maxClientConnections,
        maxWaitingBytes: options.settings.memoryBytes * WAITING_MEMORY_SHARE,
      },
    );
    const peers = createServer((socket) => {
      if (started.node === undefined) socket.destroy();
    });
    const transport = await bindSockets(options, peers, clients);
    if (transport.isErr()) return err(transport.error);
    const node = new GatewayNode(options, { transport: transport.value, peers, clients });
    started.node = node;
    node.#cluster.start();
    node.published.start();
    node.#slots.start();
    node.#access.start();
    node.#loopLag.start();
    keepRunning(options, 'every-second', () => node.#runEverySecond());
    return ok(node);
  }

  /** Whether clients should send requests to this node. */
  get ready(): boolean {
    return !this.#stopping && this.fleet.routes !== undefined && !this.published.isStale;
  }

  /**
   * Planned stop: leaves the directory, finishes the requests in progress, and resolves before the grace
   * period ends. Requests are accepted for a part of that time, as callers learn of the stop late. Each one
   * gets a response: it is served, refused at once, or answered with a timeout.
   */
  async stop(): Promise<void> {
    const { clock, settings, telemetry } = { ...this.#options };
    this.#stopping = true;
    this.#stopDeadlineMs = clock.now() + settings.stopGraceMs - STOP_MARGIN_MS;
    telemetry.event('info', 'process.stopping', settings.nodeId, { running: this.#exchanges.size });
    this.#runStopStep('resign', () => this.#slots.resign());
    this.#runStopStep('drain', () => this.#cluster.drain());
    this.#runStopStep('hand-over', () => this.#streamVersions.handOver());
    await clock.sleep(settings.stopGraceMs * ACCEPTING_SHARE);
    this.#clients.stopAccepting();
    while (this.#openResponses > 0 && clock.now() < this.#stopDeadlineMs) await clock.sleep(STOP_POLL_MS);
    const unfinished = [...this.#exchanges];
    for (const exchange of unfinished) this.#runStopStep('end-request', () => exchange.endAtStop());
    this.#runStopStep('leave', () => this.#cluster.leave());
    await clock.sleep(STOP_POLL_MS);
    telemetry.event('info', 'process.stopped', settings.nodeId, {
      givenUp: unfinished.length,
      brokenOff: this.#openResponses,
    });
    this.close();
  }

  /** Runs one step of a planned stop. An error in it keeps none of the others from running, nor requests from ending. */
  #runStopStep(name: string, step: () => void): void {
    try {
      step();
    } catch (cause) {
      this.#options.telemetry.event('error', 'process.stop-step-failed', name, errorFields(cause));
    }
  }

  /** Responses to clients, and to nodes for which this one relays, that have not been written completely. */
  get #openResponses(): number {
    return this.#clients.openResponses + this.#relayServer.running;
  }

  /** Stops at once, as in a crash. */
  close(): void {
    this.#access.stop();
    this.published.stop();
    this.#slots.stop();
    this.#loopLag.stop();
    this.#readDelay.stop();
    this.#cluster.stop();
    this.#network.close();
    this.#clients.closeAll();
    this.#connections.close();
  }

  #serve(request: IncomingMessage, response: ServerResponse, waitedMs: number): void {
    const exchange = new Exchange(this.#context, request, response, waitedMs);
    if (this.#clients.closing) {
      exchange.refuseStopping();
      return;
    }
    this.#exchanges.add(exchange);
    runInBackground(this.#options.telemetry, 'request', () =>
      exchange.run().finally(() => this.#exchanges.delete(exchange)),
    );
  }

  #peerMethods(read: PeerParams): PeerMethods {
    return {
      ...publishedMethods(() => this.published, read),
      [INTERRUPTED_METHOD]: read.checked(INTERRUPTED_METHOD, interruptedParams, (params) =>
        this.#quarantine.answer(params),
      ),
      [COMPLETED_METHOD]: read.checked(COMPLETED_METHOD, endedWellParams, (params) =>
        this.#quarantine.answerEndedWell(params),
      ),
      [ENDED_WELL_METHOD]: read.checked(ENDED_WELL_METHOD, endedWellParams, (params) =>
        this.#quarantine.answerEndedWell(params),
      ),
      [PART_CRASHES_METHOD]: (params) => this.#quarantine.parts.answerCrashes(params),
      [PART_RUNS_METHOD]: (params) => this.#quarantine.parts.answerRuns(params),
      [TRIAL_METHOD]: read.checked(TRIAL_METHOD, trialParams, (params) =>
        this.#quarantine.answerTrial(params),
      ),
      [BEGAN_METHOD]: (params) => this.#streamVersions.answerBegan(params),
      [FIND_METHOD]: (params) => this.#streamVersions.answerFind(params),
      [BORROW_METHOD]: read.checked(BORROW_METHOD, borrowParams, (params) => this.#quotas.answer(params)),
      [RATE_BORROW_METHOD]: read.checked(RATE_BORROW_METHOD, rateBorrowParams, (params) =>
        this.#backendRates.answer(params),
      ),
      [ACQUIRE_METHOD]: read.checked(ACQUIRE_METHOD, acquireParams, (params, peer) =>
        this.#slots.answers.onAcquire(params, peer),
      ),
      [CANCEL_METHOD]: read.checked(CANCEL_METHOD, releaseParams, (params, peer) =>
        this.#slots.answers.onCancel(params, peer),
      ),
      [STARTED_METHOD]: read.checked(STARTED_METHOD, startedParams, (params) =>
        this.#slots.answers.onStarted(params),
      ),
      [USES_METHOD]: read.checked(USES_METHOD, usesParams, (params, peer) =>
        this.#slots.answers.onUses(params, peer),
      ),
      [RELEASE_METHOD]: read.checked(RELEASE_METHOD, releaseParams, (params, peer) =>
        this.#slots.answers.onRelease(params, peer),
      ),
      [RATE_LIMIT_METHOD]: read.checked(RATE_LIMIT_METHOD, rateLimitParams, (params) =>
        this.#slots.answers.onRateLimit(params),
      ),
      [REACHES_METHOD]: (params) => this.#access.answerReaches(params),
      [DECIDED_METHOD]: (params) => this.#slots.requester.onDecided(params),
    };
  }

  #quotaRule(tenant: string): QuotaRule | undefined {
    const quota = this.fleet.routes?.tenants?.named(tenant)?.quota;
    return quota === undefined ? undefined : widenRule(quota, this.#options.settings.quotaTolerance);
  }

  #retryBudget(service: string): RetryBudget {
    let budget = this.#retryBudgets.get(service);
    if (budget === undefined) {
      const { clock, settings } = this.#options;
      budget = new RetryBudget(clock, settings.retryBudget, () => this.#fleetShare.value);
      this.#retryBudgets.set(service, budget);
    }
    return budget;
  }

  /**
   * Logs one line per backend and state when a backend leaves: the lines of all nodes together show when
   * each node learned of it and from where.
   */
  #onDeparture({ id, state, revision, via }: Departure): void {
    this.metrics.departures.inc({ state });
    this.#quarantine.handleDeparture(id, state);
    this.#options.telemetry.event('info', 'backend.leaving', id, {
      state,
      era: this.fleet.era,
      revision,
      via: via === 'list' ? (this.published.readsStore ? 'store' : 'reader') : via,
      listAgeMs: Math.round(this.published.listAgeMs),
    });
  }

  /**
   * Logs one line per era on each node. The backend list of the previous era stays in use until the list is
   * read again.
   */
  #onNewEra({ from, to }: NewEra): void {
    this.#options.telemetry.event('warn', 'store.era', 'store', {
      from,
      to,
      backends: [...this.fleet.allBackends()].length,
      listAgeMs: Math.round(this.published.listAgeMs),
    });
  }

  #onBusyChanged(busy: boolean): void {
    const lagMs = Math.round(this.#loopLag.meanMs);
    this.#options.telemetry.event('info', 'process.busy', this.#options.settings.nodeId, { busy, lagMs });
    this.#cluster.publishBusy(busy);
  }

  #onFleetChanged(change: string): void {
    if (change === 'backends') {
      this.#connections.retainListed((id) => this.fleet.backend(id) !== undefined);
      return;
    }
    const configuration = this.fleet.routes?.configuration;
    if (change !== 'configuration' || configuration === undefined) return;
    this.#clients.applyLimits(configuration.limits);
    this.metrics.configurationVersion.set(configuration.version);
    this.#options.telemetry.event('info', 'configuration.applied', 'configuration', {
      version: configuration.version,
      routes: configuration.routes.length,
      ...routeChanges(this.#loggedRoutes, configuration.routes),
    });
    this.#loggedRoutes = configuration.routes;
  }

  /** What is done every second, by the names that log lines give it. */
  get #jobs(): readonly (readonly [string, () => void])[] {
    return [
      ['published-report', () => this.published.report()],
      ['rejection-limits', () => this.#rejectionLimits.update()],
      ['pool-report', () => this.#reportPools()],
      ['traffic-report', () => this.#reportTraffic()],
      ['quotas', () => this.#updateQuotas()],
      ['backend-rates', () => this.#backendRates.update()],
      ['quarantine', () => this.#quarantine.update()],
      ['stream-versions', () => this.#streamVersions.update()],
      ['metrics', () => this.#updateMetrics()],
    ];
  }

  #updateMetrics(): void {
    const { telemetry, droppedLogLines } = this.#options;
    for (const [event, count] of telemetry.takeErrorCounts()) this.metrics.errors.inc({ event }, count);
    this.metrics.droppedLogLines.set(droppedLogLines());
    this.metrics.members.set(this.#cluster.serving().length);
    this.metrics.loopLag.set(this.#loopLag.meanMs / 1000);
    this.metrics.quarantined.set(this.#quarantine.size);
    const memory = this.#memory.check();
    this.metrics.residentMemory.set(memory.residentBytes);
    this.metrics.heap.set(memory.heapBytes);
    this.metrics.heapLimit.set(memory.heapLimitBytes);
  }

  #reportPools(): void {
    for (const row of this.#slots.describe()) {
      this.metrics.poolWaiting.set({ pool: row.pool }, row.waiting);
      this.#options.telemetry.event('info', 'pool.state', row.pool, { ...row });
    }
  }

  #updateQuotas(): void {
    if (this.fleet.routes?.tenants !== undefined) this.#quotas.update();
  }

  async #runEverySecond(): Promise<void> {
    while (!this.#stopping) {
      // Each by itself, so that one that fails does not keep the others from running.
      for (const [name, job] of this.#jobs) runInBackground(this.#options.telemetry, name, async () => job());
      await this.#options.clock.sleep(SECOND_MS);
    }
  }

  /**
   * Logs at most one line per second, only while this node sends much to other nodes: the method with the
   * most bytes, and how much is waiting to be sent.
   */
  #reportTraffic(): void {
    const rows = this.#network.traffic.take();
    const waitingBytes = this.#network.traffic.takeMostWaitingBytes();
    for (const { method, bytes } of rows) this.metrics.peerBytes.inc({ method }, bytes);
    this.metrics.peerWaiting.set(waitingBytes);
    const [most] = rows;
    if (most === undefined || (most.bytes < NOTABLE_TRAFFIC_BYTES && waitingBytes < NOTABLE_TRAFFIC_BYTES)) {
      return;
    }
    const { method, ...traffic } = most;
    this.#options.telemetry.event('info', 'peers.traffic', method, { ...traffic, waitingBytes });
  }
}

/** Binds the addresses of a node; that of the callers last, as those whose connections are accepted wait for answers. */
async function bindSockets(
  { settings, telemetry, clock, binder }: GatewayOptions,
  peers: Server,
  clients: ClientServer,
): Promise<Result<UdpTransport, ListenError>> {
  const { ip: host, peerPort, frontPort, peerKey } = settings;
  const peersBound = await binder.listen('listen.peers', peers, { host, port: peerPort });
  if (peersBound.isErr()) return err(peersBound.error);
  const events = new LimitedEvents(telemetry, clock);
  const transport = await binder.bind('listen.peers', () =>
    UdpTransport.bind({ host, port: peerPort }, peerKey, events),
  );
  if (transport.isErr()) return err(transport.error);
  const callers = await binder.bind('listen.callers', () => clients.listen({ host, port: frontPort }));
  return callers.map(() => transport.value);
}

/**
 * Traffic to other nodes of at least this many bytes per second is logged: a fourth of the smallest link, 7
 * Mbit/s.
 */
const NOTABLE_TRAFFIC_BYTES = 220_000;
