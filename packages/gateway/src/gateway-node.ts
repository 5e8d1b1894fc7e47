import { randomBytes } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { QuotaRule } from '@canvasridge/admission';
import { Random, hashSeed, type Clock } from '@canvasridge/clock';
import { UdpTransport } from '@canvasridge/membership';
import type { Departure, FleetState } from '@canvasridge/serving';
import type { EngineControl, SlotTiming, SwitchedOff } from '@canvasridge/slots';
import type { Telemetry } from '@canvasridge/telemetry';
import { err, ok, type Result } from 'neverthrow';
import { BackendConnections } from './backends/backend-connections.js';
import { LeastLoadedPicker } from './backends/least-loaded-picker.js';
import { RetryBudget, type RetryBudgetOptions } from './backends/retry-budget.js';
import { SlotPicker } from './backends/slot-picker.js';
import { ClientServer, type ListenError } from './client-server.js';
import { Cluster, RESTARTED_PREFIX } from './cluster/cluster.js';
import { departureBudget, type DepartureBudget } from './cluster/departure-budget.js';
import { Directory } from './cluster/directory.js';
import {
  ACQUIRE_METHOD,
  CANCEL_METHOD,
  DECIDED_METHOD,
  RELEASE_METHOD,
  STARTED_METHOD,
  USES_METHOD,
  type AcquireParams,
  type ReleaseParams,
  type StartedParams,
  type UsesParams,
} from './cluster/slot-protocol.js';
import type { EngineFences } from './cluster/order-permission.js';
import { SlotService } from './cluster/slot-service.js';
import { holderNumber } from './cluster/holder-number.js';
import {
  BORROW_METHOD,
  FleetQuotas,
  widened,
  type BorrowParams,
  type QuotaTolerance,
} from './cluster/fleet-quotas.js';
import { FleetShare } from './cluster/fleet-share.js';
import { LoopLag } from './cluster/loop-lag.js';
import {
  SNAPSHOT_METHOD,
  StateExchange,
  snapshotFor,
  type SnapshotRequest,
} from './cluster/state-exchange.js';
import { ConfigurationFetcher } from './cluster/configuration-fetcher.js';
import {
  ConfigurationParts,
  PART_METHOD,
  type PartRequest,
  type WaitingBytes,
} from './cluster/configuration-parts.js';
import { ConfigurationFreshness } from './cluster/configuration-freshness.js';
import { usualAgeMs, type KeyLease } from './cluster/key-lease.js';
import { FOLLOW_METHOD, StateFollower, type FollowRequest } from './cluster/state-follower.js';
import { GatewayMetrics } from './gateway-metrics.js';
import { PeerNetwork } from './peers/peer-network.js';
import type { PeerConnection, PeerMethods } from './peers/peer-connection.js';
import { BodyRoom } from './request/body-room.js';
import type { RequestDialect } from './request/dialect.js';
import { Exchange, type ExchangeContext } from './request/exchange.js';
import type { SlotDecision } from '@canvasridge/slots';

/** Where a gateway listens and who it is. */
export interface GatewaySettings {
  readonly nodeId: string;
  readonly zone: string;
  readonly region: string;
  readonly ip: string;
  readonly frontPort: number;
  /** Gossip over UDP and calls between nodes over TCP. */
  readonly peerPort: number;
  readonly peerKey: string;
  /** Memory that the process may use. */
  readonly memoryBytes: number;
  /** Processor time that this node may use, in cores of the usual speed. */
  readonly capacity: number;
  readonly retryBudget: RetryBudgetOptions;
  readonly slotTiming: SlotTiming;
  readonly engineFences: EngineFences;
  /** Parts of the policy that are switched off, for measurements. */
  readonly switchedOff: SwitchedOff;
  /** Time within which each node has to know that a backend leaves. */
  readonly drainMs: number;
  /** How long a configuration gives rights that can be withdrawn, and how often it is confirmed for that. */
  readonly keyLease: KeyLease;
  /** Undefined where operators say nothing of it. */
  readonly quotaTolerance: QuotaTolerance | undefined;
  /** Time from the signal to stop until the process has to be gone. */
  readonly stopGraceMs: number;
  /** Whether the whole system starts for the first time. */
  readonly firstStart: boolean;
}

export interface GatewayOptions {
  readonly settings: GatewaySettings;
  /** Peer addresses to ask; may change. */
  readonly seeds: () => readonly string[];
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly dialect: RequestDialect;
  readonly control: EngineControl;
  readonly fleet: FleetState;
  /** Log lines left out so far. */
  readonly droppedLines: () => number;
}

/** Part of the grace time in which new requests are still taken, as callers learn late. */
const ACCEPT_SHARE = 0.31;
/** Time kept back from the grace time. */
const STOP_MARGIN_MS = 350;
const STOP_POLL_MS = 50;
const TOKEN_BYTES = 6;
/** Part of the process's memory for bodies of requests, beside a heap of 128 MB and the runtime's 50 MB on 250 MB. */
const BODIES_SHARE = 0.15;
const SECOND_MS = 1000;
/** Longest watch of the operators' entries, where no key has to stop working within a time. */
const LONGEST_OPERATOR_WATCH_MS = 5000;
const LONGEST_OPERATOR_OVERDUE_MS = 1000;
const READER_RETRY_MS = 700;
/** A follower that had to read itself, and can't either: most likely no node can, and readers see the return first. */
const ORPHAN_RETRY_MS = 2000;

/** An entry node that passes requests on to backends unaltered. */
export class GatewayNode {
  readonly fleet: FleetState;
  readonly metrics = new GatewayMetrics();
  readonly directory: Directory;
  readonly #options: GatewayOptions;
  readonly #cluster: Cluster;
  readonly #network: PeerNetwork;
  readonly #slots: SlotService;
  readonly #exchange: StateExchange;
  readonly #follower: StateFollower;
  readonly #freshness: ConfigurationFreshness;
  readonly #parts: ConfigurationParts;
  readonly #fetcher: ConfigurationFetcher;
  readonly #connections = new BackendConnections();
  readonly #clients: ClientServer;
  readonly #lag: LoopLag;
  readonly #share: FleetShare;
  readonly #quotas: FleetQuotas;
  readonly #budget: DepartureBudget;
  readonly #budgets = new Map<string, RetryBudget>();
  readonly #context: ExchangeContext;
  readonly #running = new Set<Exchange>();
  /** When requests that still run are given up, once this node stops. */
  #stopsAtMs = Infinity;
  #stopping = false;
  #wasStale = false;
  #nextId = 0;

  private constructor(options: GatewayOptions, transport: UdpTransport) {
    this.#options = options;
    this.fleet = options.fleet;
    const { settings, clock, telemetry } = options;
    this.#budget = departureBudget(settings.drainMs);
    this.#checkKeyLease();
    const prefix = settings.firstStart ? '' : RESTARTED_PREFIX;
    const processToken = prefix + randomBytes(TOKEN_BYTES).toString('hex');
    const random = new Random(hashSeed(processToken));
    this.#network = new PeerNetwork(
      this.#methods(),
      (peer) => this.#slots.answers.onPeerClosed(peer),
      (address) => this.#cluster.peerRefused(address),
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
      onPeerVersion: (address, version, zone) =>
        this.#fetcher.offered(version, address, zone === settings.zone),
    });
    this.directory = new Directory(this.#cluster, () => this.#slots.leaders());
    this.#share = new FleetShare(clock, this.directory, settings.nodeId);
    const peers = (): string[] => this.#cluster.peerAddresses();
    const { fleet } = this;
    this.#freshness = new ConfigurationFreshness(clock, fleet);
    const freshness = this.#freshness;
    this.#parts = new ConfigurationParts(fleet);
    this.#fetcher = new ConfigurationFetcher({ clock, fleet, network: this.#network, telemetry });
    this.#exchange = new StateExchange({
      fleet,
      network: this.#network,
      clock,
      random,
      telemetry,
      peers,
      freshness,
      // A node that polls has lost the store: it takes what it can get wherever that is.
      onConfigurationOffered: (version, address) => this.#fetcher.offered(version, address, true),
    });
    this.#follower = new StateFollower({
      clock,
      fleet,
      network: this.#network,
      telemetry,
      selfId: settings.nodeId,
      nodeCount: () => this.#cluster.nodeCount,
      ranked: () => this.#cluster.candidates(READERS_POOL),
      peerAddress: (id) => this.#cluster.peerAddress(id),
      zoneOf: (id) => this.#cluster.zoneOf(id),
      needsWholeState: () => this.#slots.takesPart,
      budget: this.#budget,
      freshness,
      onConfigurationOffered: (version, address, isNear) => this.#fetcher.offered(version, address, isNear),
    });
    this.#slots = new SlotService({
      clock,
      random,
      fleet,
      cluster: this.#cluster,
      network: this.#network,
      control: options.control,
      timing: settings.slotTiming,
      engineFences: settings.engineFences,
      switchedOff: settings.switchedOff,
      holder: { name: settings.nodeId, number: holderNumber(settings.ip) },
      telemetry,
    });
    this.#quotas = new FleetQuotas({
      clock,
      cluster: this.#cluster,
      network: this.#network,
      telemetry,
      rules: (tenant) => this.#quotaRule(tenant),
      subjectCount: () => fleet.routes?.tenants?.size ?? 0,
      fleetShare: () => this.#share.value,
    });
    this.#context = {
      clock,
      dialect: options.dialect,
      fleet,
      connections: this.#connections,
      plainPicker: new LeastLoadedPicker(fleet, clock, random),
      enginePicker: new SlotPicker(fleet, this.#slots, clock),
      budget: (service) => this.#retryBudget(service),
      fleetShare: () => this.#share.value,
      isStopping: () => this.#stopping,
      stopsInMs: () => this.#stopsAtMs - clock.now(),
      nextId: () => `${processToken}/${(this.#nextId += 1)}`,
      random: () => random.next(),
      listAgeMs: () => this.#follower.listAgeMs,
      refreshIfOld: () => this.#follower.refreshIfOld(),
      configurationLease: () => ({ ageMs: freshness.ageMs, leaseMs: settings.keyLease.leaseMs }),
      quotas: this.#quotas,
      bodyRoom: new BodyRoom(settings.memoryBytes * BODIES_SHARE),
      telemetry,
      metrics: this.metrics,
    };
    this.#clients = new ClientServer((request, response) => this.#serve(request, response));
    this.#lag = new LoopLag(clock, (busy) => this.#busyChanged(busy));
    fleet.onChange((change) => this.#fleetChanged(change));
    fleet.onDeparture((departure) => this.#departed(departure));
  }

  /** Binds sockets and starts all tasks. */
  static async start(options: GatewayOptions): Promise<Result<GatewayNode, ListenError>> {
    const { settings } = options;
    const transport = await UdpTransport.bind(settings.ip, settings.peerPort, settings.peerKey);
    if (transport.isErr()) {
      const { address, reason } = transport.error;
      return err({ kind: 'cannot-listen', field: 'listen.control', address, reason });
    }
    const node = new GatewayNode(options, transport.value);
    const peers = await node.#network.listen(settings.ip, settings.peerPort);
    if (peers.isErr()) return err({ ...peers.error, field: 'listen.control' });
    const front = await node.#clients.listen('listen.front', settings.ip, settings.frontPort);
    if (front.isErr()) return err(front.error);
    node.#cluster.start();
    node.#exchange.start();
    node.#follower.start();
    node.#slots.start();
    node.#lag.start();
    void node.#everySecond();
    return ok(node);
  }

  /** Says so where even calm nodes would refuse keys: no setting is changed for it, as that would break a bound. */
  #checkKeyLease(): void {
    const { keyLease, nodeId } = this.#options.settings;
    const usualMs = usualAgeMs(keyLease, this.#budget);
    if (!(usualMs > keyLease.leaseMs) || keyLease.leaseMs === Infinity) return;
    const { leaseMs } = keyLease;
    this.#options.telemetry.event('error', 'configuration.lease-too-short', nodeId, { leaseMs, usualMs });
  }

  /** Whether clients should be sent here. */
  get ready(): boolean {
    return !this.#stopping && this.fleet.routes !== undefined && !this.#isStale;
  }

  /** Whether this node can't tell any more which keys hold, so that it refuses all requests that bear one. */
  get #isStale(): boolean {
    const { keyLease } = this.#options.settings;
    return this.fleet.routes?.tenants !== undefined && this.#freshness.ageMs > keyLease.leaseMs;
  }

  /** Whether the published state can be read directly; otherwise it is learnt from peers. */
  sourceAnswers(answers: boolean): void {
    this.#exchange.sourceAnswers = answers;
  }

  /** Whether this node reads the published state itself; otherwise others do so for it. */
  get readsSource(): boolean {
    return this.#follower.reads;
  }

  /** Resolves once this node reads the published state itself. */
  untilReadsSource(): Promise<void> {
    return this.#follower.untilReading();
  }

  /**
   * Longest wait for changes of the list of backends, the pause after some came, and the longest one after a failure,
   * in milliseconds.
   */
  get sourcePace(): { readonly watchMs: number; readonly pauseMs: number; readonly retryMostMs: number } {
    const retryMostMs = this.#follower.isOrphan ? ORPHAN_RETRY_MS : READER_RETRY_MS;
    const { readerWatchMs, readerPauseMs, directReaderWatchMs, directReaderPauseMs } = this.#budget;
    return this.#follower.isLarge
      ? { watchMs: readerWatchMs, pauseMs: readerPauseMs, retryMostMs }
      : { watchMs: directReaderWatchMs, pauseMs: directReaderPauseMs, retryMostMs };
  }

  /** Time since the list of backends was last known to be complete, in milliseconds; infinite before it was read. */
  get listAgeMs(): number {
    return this.#follower.listAgeMs;
  }

  /**
   * The configuration in force was the newest one in the store at this moment of this node's clock. Not to be called
   * while the store holds one that can't be read: it may withdraw rights.
   */
  configurationConfirmed(asOfMs: number): void {
    this.#freshness.confirm(this.fleet.configurationVersion, asOfMs);
  }

  /** Longest wait for changes of the operators' entries, and how long it may be overdue, in milliseconds. */
  get operatorPace(): { readonly watchMs: number; readonly overdueMs: number } {
    const { watchMs, overdueMs } = this.#options.settings.keyLease;
    return {
      watchMs: Math.min(watchMs, LONGEST_OPERATOR_WATCH_MS),
      overdueMs: Math.min(overdueMs, LONGEST_OPERATOR_OVERDUE_MS),
    };
  }

  /** The list of backends was read just now, or is known not to have changed. */
  sourceHeard(): void {
    this.#follower.heard();
  }

  /**
   * Planned stop: leaves the directory, serves what it has, and resolves before the grace time is over. Requests are taken for
   * a part of that time, as callers learn late; each is answered: served, refused at once, or told that time is over.
   */
  async stop(): Promise<void> {
    const { clock, settings, telemetry } = { ...this.#options };
    this.#stopping = true;
    this.#stopsAtMs = clock.now() + settings.stopGraceMs - STOP_MARGIN_MS;
    telemetry.event('info', 'process.stopping', settings.nodeId, { running: this.#running.size });
    this.#slots.resign();
    this.#cluster.drain();
    await clock.sleep(settings.stopGraceMs * ACCEPT_SHARE);
    this.#clients.stopAccepting();
    while (this.#clients.openAnswers > 0 && clock.now() < this.#stopsAtMs) await clock.sleep(STOP_POLL_MS);
    const late = [...this.#running];
    for (const exchange of late) exchange.giveUp();
    this.#cluster.leave();
    await clock.sleep(STOP_POLL_MS);
    telemetry.event('info', 'process.stopped', settings.nodeId, {
      givenUp: late.length,
      brokenOff: this.#clients.openAnswers,
    });
    this.close();
  }

  /** Ends at once, as a crash would. */
  close(): void {
    this.#exchange.stop();
    this.#fetcher.stop();
    this.#follower.stop();
    this.#slots.stop();
    this.#lag.stop();
    this.#cluster.stop();
    this.#network.close();
    this.#clients.closeAll();
    this.#connections.close();
  }

  #serve(request: IncomingMessage, response: ServerResponse): void {
    const exchange = new Exchange(this.#context, request, response);
    if (this.#clients.closing) {
      exchange.refuseLate();
      return;
    }
    this.#running.add(exchange);
    void exchange.run().finally(() => this.#running.delete(exchange));
  }

  #methods(): PeerMethods {
    return {
      [SNAPSHOT_METHOD]: (params, peer) =>
        snapshotFor(this.fleet, this.#freshness, params as SnapshotRequest, this.#waiting(peer)),
      [FOLLOW_METHOD]: (params, peer) => this.#follower.answer(params as FollowRequest, this.#waiting(peer)),
      [BORROW_METHOD]: (params) => this.#quotas.answer(params as BorrowParams),
      [PART_METHOD]: (params, peer) => this.#parts.answer(params as PartRequest, this.#waiting(peer)),
      [ACQUIRE_METHOD]: (params, peer) => this.#slots.answers.onAcquire(params as AcquireParams, peer),
      [CANCEL_METHOD]: (params, peer) => this.#slots.answers.onCancel(params as ReleaseParams, peer),
      [STARTED_METHOD]: (params) => this.#slots.answers.onStarted(params as StartedParams),
      [USES_METHOD]: (params, peer) => this.#slots.answers.onUses(params as UsesParams, peer),
      [RELEASE_METHOD]: (params, peer) => this.#slots.answers.onRelease(params as ReleaseParams, peer),
      [DECIDED_METHOD]: (params) => this.#slots.onDecided(params as SlotDecision),
    };
  }

  #quotaRule(tenant: string): QuotaRule | undefined {
    const quota = this.fleet.routes?.tenants?.named(tenant)?.quota;
    return quota === undefined ? undefined : widened(quota, this.#options.settings.quotaTolerance);
  }

  #waiting(peer: PeerConnection): WaitingBytes {
    return { forPeer: peer.waitingBytes, forAll: this.#network.traffic.waitingBytes };
  }

  #retryBudget(service: string): RetryBudget {
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      const { clock, settings } = this.#options;
      budget = new RetryBudget(clock, settings.retryBudget, () => this.#share.value);
      this.#budgets.set(service, budget);
    }
    return budget;
  }

  /** One line for each state of each backend that leaves: with those of all nodes it shows who learnt it when. */
  #departed({ id, state, revision }: Departure): void {
    this.metrics.departures.inc({ state });
    this.#options.telemetry.event('info', 'backend.leaving', id, {
      state,
      revision,
      via: this.#follower.reads ? 'store' : 'reader',
      listAgeMs: Math.round(this.#follower.listAgeMs),
    });
  }

  #busyChanged(busy: boolean): void {
    const lagMs = Math.round(this.#lag.meanMs);
    this.#options.telemetry.event('info', 'process.busy', this.#options.settings.nodeId, { busy, lagMs });
    this.#cluster.publishBusy(busy);
  }

  #fleetChanged(change: string): void {
    if (change === 'backends') {
      this.#connections.retain((id) => this.fleet.backend(id) !== undefined);
      return;
    }
    const configuration = this.fleet.routes?.configuration;
    if (change !== 'configuration' || configuration === undefined) return;
    this.#clients.applyLimits(configuration.limits);
    this.metrics.configurationVersion.set(configuration.version);
    this.#options.telemetry.event('info', 'configuration.applied', 'configuration', {
      version: configuration.version,
      routes: configuration.routes.length,
    });
  }

  async #everySecond(): Promise<void> {
    while (!this.#stopping) {
      this.metrics.droppedLines.set(this.#options.droppedLines());
      this.metrics.listAge.set(this.#follower.listAgeMs / 1000);
      this.metrics.configurationAge.set(this.#freshness.ageMs / 1000);
      this.#reportStaleness();
      this.metrics.members.set(this.#cluster.serving().length);
      this.metrics.loopLag.set(this.#lag.meanMs / 1000);
      for (const row of this.#slots.describe()) {
        this.metrics.poolWaiting.set({ pool: row.pool }, row.waiting);
        this.#options.telemetry.event('info', 'pool.state', row.pool, { ...row });
      }
      this.#reportTraffic();
      if (this.fleet.routes?.tenants !== undefined) this.#quotas.update();
      await this.#options.clock.sleep(SECOND_MS);
    }
  }

  /** One line for each change: from when to when requests with keys are refused. */
  #reportStaleness(): void {
    const isStale = this.#isStale;
    if (isStale === this.#wasStale) return;
    this.#wasStale = isStale;
    this.#options.telemetry.event(isStale ? 'warn' : 'info', 'configuration.lease', 'configuration', {
      state: isStale ? 'expired' : 'renewed',
      ageMs: Math.round(this.#freshness.ageMs),
      leaseMs: this.#options.settings.keyLease.leaseMs,
      version: this.fleet.configurationVersion,
    });
  }

  /** One line a second at the most, only while much goes to other nodes: what it is, and what waits to be sent. */
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

/** From so many bytes a second on, what goes to other nodes is worth a line: a fourth of the smallest link, 7 Mbit/s. */
const NOTABLE_TRAFFIC_BYTES = 220_000;

/** Name under which nodes are ranked as readers of the published state. */
const READERS_POOL = 'published-state';
