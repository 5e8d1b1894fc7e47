import type { Clock, Random } from '@canvasridge/clock';
import type { FleetState } from '@canvasridge/serving';
import type { Telemetry } from '@canvasridge/telemetry';
import type { GatewayMetrics } from '../gateway-metrics.js';
import type { PeerConnection, PeerMethods } from '../peers/peer-connection.js';
import type { PeerNetwork } from '../peers/peer-network.js';
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
import { departureBudget, type DepartureBudget } from './departure-budget.js';
import { usualAgeMs, type KeyLease } from './key-lease.js';
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
  /** Time within which each node has to know that a backend leaves. */
  readonly drainMs: number;
  readonly keyLease: KeyLease;
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly metrics: GatewayMetrics;
  readonly fleet: FleetState;
  readonly cluster: Cluster;
  readonly network: PeerNetwork;
  /** Whether this node hands out slots or is next to do so, and so needs the whole list. */
  readonly needsWholeState: () => boolean;
}

/** What other nodes ask a node for of its published state. */
export function publishedMethods(state: () => PublishedState): PeerMethods {
  return {
    [SNAPSHOT_METHOD]: (params, peer) => state().answerSnapshot(params as SnapshotRequest, peer),
    [FOLLOW_METHOD]: (params, peer) => state().answerFollower(params as FollowRequest, peer),
    [PART_METHOD]: (params, peer) => state().answerPart(params as PartRequest, peer),
  };
}

/** Times in milliseconds. */
export interface SourcePace {
  /** Longest wait for changes of the list of backends. */
  readonly watchMs: number;
  /** Pause after some came. */
  readonly pauseMs: number;
  /** Longest pause after a failure. */
  readonly retryMostMs: number;
}

/** Name under which nodes are ranked as readers of the published state. */
const READERS_POOL = 'published-state';
/** Longest watch of the operators' entries, where no key has to stop working within a time. */
const LONGEST_OPERATOR_WATCH_MS = 5000;
const LONGEST_OPERATOR_OVERDUE_MS = 1000;
const READER_RETRY_MS = 700;
/** A follower that had to read itself, and can't either: most likely no node can, and readers see the return first. */
const ORPHAN_RETRY_MS = 2000;

/**
 * How this node comes to know what was published, directly or from peers, and how far it may rely on it: the list of backends
 * by its age, rights that can be withdrawn by the age of the configuration.
 */
export class PublishedState {
  readonly #options: PublishedStateOptions;
  readonly #budget: DepartureBudget;
  readonly #freshness: ConfigurationFreshness;
  readonly #parts: ConfigurationParts;
  readonly #fetcher: ConfigurationFetcher;
  readonly #exchange: StateExchange;
  readonly #follower: StateFollower;
  #wasStale = false;

  constructor(options: PublishedStateOptions) {
    this.#options = options;
    const { clock, random, telemetry, fleet, cluster, network, nodeId, needsWholeState } = options;
    this.#budget = departureBudget(options.drainMs);
    this.#checkKeyLease();
    const freshness = new ConfigurationFreshness(clock, fleet);
    this.#freshness = freshness;
    this.#parts = new ConfigurationParts(fleet);
    this.#fetcher = new ConfigurationFetcher({ clock, fleet, network, telemetry });
    const shared = { clock, fleet, network, telemetry, freshness };
    this.#exchange = new StateExchange({
      ...shared,
      random,
      peers: () => cluster.peerAddresses(),
      // A node that polls has lost the store: it takes what it can get wherever that is.
      onConfigurationOffered: (version, address) => this.#fetcher.offered(version, address, true),
    });
    this.#follower = new StateFollower({
      ...shared,
      selfId: nodeId,
      nodeCount: () => cluster.nodeCount,
      ranked: () => cluster.candidates(READERS_POOL),
      peerAddress: (id) => cluster.peerAddress(id),
      zoneOf: (id) => cluster.zoneOf(id),
      needsWholeState,
      budget: this.#budget,
      onConfigurationOffered: (version, address, isNear) => this.#fetcher.offered(version, address, isNear),
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

  /** Answers a node that lost the store. */
  answerSnapshot(known: SnapshotRequest, peer: PeerConnection): SnapshotAnswer {
    return snapshotFor(this.#options.fleet, this.#freshness, known, this.#waiting(peer));
  }

  answerFollower(known: FollowRequest, peer: PeerConnection): FollowAnswer {
    return this.#follower.answer(known, this.#waiting(peer));
  }

  answerPart(request: PartRequest, peer: PeerConnection): PartReply {
    return this.#parts.answer(request, this.#waiting(peer));
  }

  /** A peer shows that it has a version of the configuration in force. */
  peerShows(address: string, version: number, zone: string): void {
    this.#freshness.shown(version);
    this.#fetcher.offered(version, address, zone === this.#options.zone);
  }

  // --- the store ---------------------------------------------------------------------------------

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

  get sourcePace(): SourcePace {
    const retryMostMs = this.#follower.isOrphan ? ORPHAN_RETRY_MS : READER_RETRY_MS;
    const { readerWatchMs, readerPauseMs, directReaderWatchMs, directReaderPauseMs } = this.#budget;
    return this.#follower.isLarge
      ? { watchMs: readerWatchMs, pauseMs: readerPauseMs, retryMostMs }
      : { watchMs: directReaderWatchMs, pauseMs: directReaderPauseMs, retryMostMs };
  }

  /** Longest wait for changes of the operators' entries, and how long it may be overdue, in milliseconds. */
  get operatorPace(): { readonly watchMs: number; readonly overdueMs: number } {
    const { watchMs, overdueMs } = this.#options.keyLease;
    return {
      watchMs: Math.min(watchMs, LONGEST_OPERATOR_WATCH_MS),
      overdueMs: Math.min(overdueMs, LONGEST_OPERATOR_OVERDUE_MS),
    };
  }

  /** The list of backends was complete in the store at this moment of this node's clock. */
  sourceHeard(asOfMs: number): void {
    this.#follower.heard(asOfMs);
  }

  /**
   * The configuration in force was the newest one in the store at this moment of this node's clock. Not to be called
   * while the store holds one that can't be read: it may withdraw rights.
   */
  configurationConfirmed(asOfMs: number): void {
    this.#freshness.confirm(this.#options.fleet.configurationVersion, asOfMs);
  }

  // --- how far it may be relied upon ---------------------------------------------------------------

  /** Time since the list of backends was last known to be complete, in milliseconds; infinite before it was read. */
  get listAgeMs(): number {
    return this.#follower.listAgeMs;
  }

  /** Whether the list of backends has to be brought up to date before a request that waited since then is written. */
  get isListTooOld(): boolean {
    return this.#follower.isListTooOld;
  }

  /** Brings the list of backends up to date if it is so old that one may have left unnoticed for too long. */
  refreshIfOld(): Promise<void> {
    return this.#follower.refreshIfOld();
  }

  /** How far the configuration in force may be relied upon for rights that can be withdrawn. */
  get configurationLease(): ConfigurationLease {
    return { ageMs: this.#freshness.ageMs, leaseMs: this.#options.keyLease.leaseMs };
  }

  /** Whether this node can't tell any more which keys hold, so that it refuses all requests that bear one. */
  get isStale(): boolean {
    const { fleet, keyLease } = this.#options;
    return fleet.routes?.tenants !== undefined && this.#freshness.ageMs > keyLease.leaseMs;
  }

  /** To be called about once a second: figures, and one line for each change of {@link isStale}. */
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

  /** Says so where even calm nodes would refuse keys: no setting is changed for it, as that would break a bound. */
  #checkKeyLease(): void {
    const { keyLease, nodeId, telemetry } = this.#options;
    const { leaseMs } = keyLease;
    const usualMs = usualAgeMs(keyLease, this.#budget);
    if (leaseMs === Infinity || usualMs <= leaseMs) return;
    telemetry.event('error', 'configuration.lease-too-short', nodeId, { leaseMs, usualMs });
  }

  #waiting(peer: PeerConnection): WaitingBytes {
    return { forPeer: peer.waitingBytes, forAll: this.#options.network.traffic.waitingBytes };
  }
}
