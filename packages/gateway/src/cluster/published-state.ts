import type { SocketAddress } from '@canvasridge/addresses';
import type { Clock, Random } from '@canvasridge/clock';
import type { FleetState } from '@canvasridge/serving';
import type { Telemetry } from '@canvasridge/telemetry';
import type { GatewayMetrics } from '../gateway-metrics.js';
import type { PeerConnection, PeerMethods } from '../peers/peer-connection.js';
import type { PeerNetwork } from '../peers/peer-network.js';
import type { PeerParams } from '../peers/peer-params.js';
import type { ConfigurationLease } from '../request/caller-identity.js';
import type { Cluster } from './cluster.js';
import { ConfigurationFetcher } from './configuration-fetcher.js';
import { ConfigurationFreshness } from './configuration-freshness.js';
import {
  ConfigurationParts,
  PART_METHOD,
  type PartReply,
  type PartRequest,
  type WaitingBytes,
} from './configuration-parts.js';
import { partRequest } from './configuration-protocol.js';
import { departureBudget, type DepartureBudget } from './departure-budget.js';
import { expectedAgeMs, type KeyLease } from './key-lease.js';
import {
  operatorPace,
  silenceBoundMs,
  silenceNoticedMs,
  type ConfigurationBounds,
  type OperatorPace,
} from './operator-pace.js';
import { knownState } from './published-protocol.js';
import {
  SNAPSHOT_METHOD,
  StateExchange,
  snapshotFor,
  type SnapshotAnswer,
  type SnapshotRequest,
} from './state-exchange.js';
import { FOLLOW_METHOD, StateFollower, type FollowAnswer, type FollowRequest } from './state-follower.js';

export interface PublishedStateOptions {
  readonly nodeId: string;
  readonly zone: string;
  /** Time within which each node must know that a backend is leaving. */
  readonly drainMs: number;
  readonly keyLease: KeyLease;
  /** Undefined if the operators set none. */
  readonly configurationBounds?: ConfigurationBounds | undefined;
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly metrics: GatewayMetrics;
  readonly fleet: FleetState;
  readonly cluster: Cluster;
  readonly network: PeerNetwork;
  /** Whether this node leads a pool or is next to lead one, and so needs the whole list. */
  readonly needsWholeState: () => boolean;
}

/** Methods by which other nodes read this node's published state. */
export function publishedMethods(state: () => PublishedState, read: PeerParams): PeerMethods {
  return {
    [SNAPSHOT_METHOD]: read.checked(SNAPSHOT_METHOD, knownState, (params, peer) =>
      state().answerSnapshot(params, peer),
    ),
    [FOLLOW_METHOD]: read.checked(FOLLOW_METHOD, knownState, (params, peer) =>
      state().answerFollower(params, peer),
    ),
    [PART_METHOD]: read.checked(PART_METHOD, partRequest, (params, peer) => state().answerPart(params, peer)),
  };
}

/** Times in milliseconds. */
export interface StoreReadPace {
  /** Longest wait for changes of the list of backends. */
  readonly watchMs: number;
  /** Pause after changes arrived. */
  readonly pauseMs: number;
  /** Longest pause after a failure. */
  readonly retryMostMs: number;
}

/** Name by which nodes are ranked as readers of the published state. */
const READERS_RANKING = 'published-state';
/** Longest pause of a reader after a failed read of the store. */
const READER_RETRY_MS = 700;
/**
 * Used by a follower that has to read the store itself and fails: most likely no node can read it, and the
 * readers notice first when it is back.
 */
const FALLBACK_RETRY_MS = 2000;

/**
 * Keeps this node up to date with the published state, directly or through peers, and tells how far it can be
 * relied on: the list of backends by its age, rights that can be revoked by the age of the configuration.
 */
export class PublishedState {
  readonly #options: PublishedStateOptions;
  readonly #budget: DepartureBudget;
  readonly #operatorPace: OperatorPace;
  readonly #freshness: ConfigurationFreshness;
  readonly #parts: ConfigurationParts;
  readonly #fetcher: ConfigurationFetcher;
  readonly #exchange: StateExchange;
  readonly #follower: StateFollower;
  #wasStale = false;
  #hasStoreFailed = false;

  constructor(options: PublishedStateOptions) {
    this.#options = options;
    const { clock, random, telemetry, fleet, cluster, network, nodeId, needsWholeState } = options;
    this.#budget = departureBudget(options.drainMs);
    this.#operatorPace = operatorPace(options.configurationBounds, options.keyLease);
    this.#checkKeyLease();
    this.#checkConfigurationBounds();
    const freshness = new ConfigurationFreshness(clock, fleet);
    this.#freshness = freshness;
    this.#parts = new ConfigurationParts(fleet);
    this.#fetcher = new ConfigurationFetcher({ clock, fleet, network, telemetry });
    const shared = { clock, fleet, network, telemetry, freshness };
    this.#exchange = new StateExchange({
      ...shared,
      random,
      peers: () => cluster.peerAddresses(),
      // A node that polls peers has lost the store: it accepts a configuration from any zone.
      onConfigurationOffered: (version, address) => this.#fetcher.offered(version, address, true),
    });
    this.#follower = new StateFollower({
      ...shared,
      selfId: nodeId,
      nodeCount: () => cluster.nodeCount,
      ranked: () => cluster.candidates(READERS_RANKING),
      peerAddress: (id) => cluster.peerAddress(id),
      zoneOf: (id) => cluster.zoneOf(id),
      needsWholeState,
      budget: this.#budget,
      onConfigurationOffered: (version, address, isSameZone) =>
        this.#fetcher.offered(version, address, isSameZone),
    });
  }

  start(): void {
    this.#exchange.start();
    this.#follower.start();
  }

  stop(): void {
    this.#exchange.stop();
    this.#fetcher.stop();
    this.#follower.stop();
  }

  /** Answers a node that lost contact with the store. */
  answerSnapshot(known: SnapshotRequest, peer: PeerConnection): SnapshotAnswer {
    return snapshotFor(this.#options.fleet, this.#freshness, known, this.#waiting(peer));
  }

  answerFollower(known: FollowRequest, peer: PeerConnection): FollowAnswer {
    return this.#follower.answer(known, this.#waiting(peer));
  }

  answerPart(request: PartRequest, peer: PeerConnection): PartReply {
    return this.#parts.answer(request, this.#waiting(peer));
  }

  /** Records that a peer has a version of the configuration in force. */
  handlePeerVersion(address: SocketAddress, version: number, zone: string): void {
    this.#freshness.onVersionSeen(version);
    this.#fetcher.offered(version, address, zone === this.#options.zone);
  }

  // --- the store ---------------------------------------------------------------------------------

  /** Sets whether the published state can be read directly; otherwise it is learnt from peers. */
  setStoreAvailable(isAvailable: boolean): void {
    if (isAvailable) this.#hasStoreFailed = false;
    this.#exchange.isStoreAvailable = isAvailable;
  }

  /** Records that a read of the store failed; until then a read that has not ended is merely under way. */
  recordStoreFailure(): void {
    this.#hasStoreFailed = true;
  }

  /** Whether a read of the store has failed since all of it could last be read. */
  get hasStoreFailed(): boolean {
    return this.#hasStoreFailed;
  }

  /** Whether another node has announced a newer configuration than this one has, so that it can be fetched there. */
  get awaitsConfiguration(): boolean {
    return this.#freshness.newestVersion > this.#options.fleet.configurationVersion;
  }

  /** Whether this node reads the published state itself; otherwise other nodes read it on its behalf. */
  get readsStore(): boolean {
    return this.#follower.reads;
  }

  /** Resolves once this node reads the published state itself. */
  waitUntilReadsStore(): Promise<void> {
    return this.#follower.waitUntilReading();
  }

  get storeReadPace(): StoreReadPace {
    const retryMostMs = this.#follower.isFallbackReader ? FALLBACK_RETRY_MS : READER_RETRY_MS;
    const { readerWatchMs, readerPauseMs, directReaderWatchMs, directReaderPauseMs } = this.#budget;
    return this.#follower.isLarge
      ? { watchMs: readerWatchMs, pauseMs: readerPauseMs, retryMostMs }
      : { watchMs: directReaderWatchMs, pauseMs: directReaderPauseMs, retryMostMs };
  }

  /** How the operators' entries are read. */
  get operatorPace(): OperatorPace {
    return this.#operatorPace;
  }

  /** Records that the list of backends was complete in the store at this time of this node's clock. */
  onStoreAnswered(asOfMs: number): void {
    this.#follower.onStoreAnswered(asOfMs);
  }

  /**
   * Records that the configuration in force was the newest one in the store at this time of this node's
   * clock. Must not be called while the store holds one that can't be read: it may revoke rights.
   */
  configurationConfirmed(asOfMs: number): void {
    this.#freshness.confirm(this.#options.fleet.configurationVersion, asOfMs);
  }

  // --- how far it can be relied on -----------------------------------------------------------------

  /**
   * Time since the list of backends was last known to be complete, in milliseconds; Infinity before it was
   * read.
   */
  get listAgeMs(): number {
    return this.#follower.listAgeMs;
  }

  /**
   * Whether the list of backends must be refreshed before a request that waited since the last check is
   * written.
   */
  get isListTooOld(): boolean {
    return this.#follower.isListTooOld;
  }

  /** Refreshes the list of backends if it is so old that one may have left unnoticed for too long. */
  refreshIfOld(): Promise<void> {
    return this.#follower.refreshIfOld();
  }

  /** How far the configuration in force can be relied on for rights that can be revoked. */
  get configurationLease(): ConfigurationLease {
    return { ageMs: this.#freshness.ageMs, leaseMs: this.#options.keyLease.leaseMs };
  }

  /**
   * Whether this node no longer knows which keys are valid, so that it refuses all requests that carry one.
   */
  get isStale(): boolean {
    const { fleet, keyLease } = this.#options;
    return fleet.routes?.tenants !== undefined && this.#freshness.ageMs > keyLease.leaseMs;
  }

  /** Call it about once a second: updates metrics, and logs a line for each change of {@link isStale}. */
  report(): void {
    const { metrics, telemetry, keyLease, fleet } = this.#options;
    metrics.storeEra.set(fleet.era);
    metrics.listAge.set(this.listAgeMs / 1000);
    metrics.configurationAge.set(this.#freshness.ageMs / 1000);
    const { isStale } = this;
    if (isStale === this.#wasStale) return;
    this.#wasStale = isStale;
    telemetry.event(isStale ? 'warn' : 'info', 'configuration.lease', 'configuration', {
      state: isStale ? 'expired' : 'renewed',
      ageMs: Math.round(this.#freshness.ageMs),
      leaseMs: keyLease.leaseMs,
      version: fleet.configurationVersion,
    });
  }

  /**
   * Logs an error if nodes would refuse keys even without faults. No setting is adjusted, as that would break
   * a bound.
   */
  #checkKeyLease(): void {
    const { keyLease, nodeId, telemetry } = this.#options;
    const { leaseMs } = keyLease;
    const usualMs = expectedAgeMs(keyLease, this.#budget);
    if (leaseMs === Infinity || usualMs <= leaseMs) return;
    telemetry.event('error', 'configuration.lease-too-short', nodeId, { leaseMs, usualMs });
  }

  /** Logs an error if a silent connection to the store would be noticed too late for the operators' bounds. */
  #checkConfigurationBounds(): void {
    const { configurationBounds, nodeId, telemetry } = this.#options;
    if (configurationBounds === undefined) return;
    const boundMs = silenceBoundMs(configurationBounds);
    const noticedMs = silenceNoticedMs(this.#operatorPace);
    if (noticedMs < boundMs) return;
    telemetry.event('error', 'configuration.bound-too-short', nodeId, { boundMs, noticedMs });
  }

  #waiting(peer: PeerConnection): WaitingBytes {
    return { forPeer: peer.waitingBytes, forAll: this.#options.network.traffic.waitingBytes };
  }
}
