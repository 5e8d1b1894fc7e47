import type { SocketAddress } from '@canvasridge/addresses';
import { Notifier, type Clock, type Random } from '@canvasridge/clock';
import type { FleetSnapshot, FleetState } from '@canvasridge/serving';
import { keepRunning, type Telemetry } from '@canvasridge/telemetry';
import { maySendLarge, type WaitingBytes } from './configuration-parts.js';
import type { ConfigurationFreshness, AdvertisedConfiguration } from './configuration-freshness.js';
import type { PeerCaller } from './peer-caller.js';
import { PeerLists } from './peer-lists.js';
import { snapshotAnswer } from './published-protocol.js';

const CALL_TIMEOUT_MS = 1500;
/** Pause between two polls of peers while the store does not answer this node. */
const POLL_PERIOD_MS = 600;

export const SNAPSHOT_METHOD = 'fleet.snapshot';

/** Params of {@link SNAPSHOT_METHOD}: what the requesting node already knows. */
export interface SnapshotRequest {
  /**
   * Era of the store in which both revisions were assigned, which changes when the store is restored from a
   * copy; absent from a build that does not know eras.
   */
  readonly era?: number | undefined;
  readonly operatorRevision: number;
  /** See {@link FleetState.operatorDigest}. */
  readonly operatorDigest: number;
  readonly backendsRevision: number;
  /** See {@link FleetState.routingDigest}. */
  readonly routingDigest: number;
}

/**
 * A peer's answer: its state, unless the requesting node holds the same, and its version of the
 * configuration, which is fetched in parts.
 */
export interface SnapshotAnswer extends AdvertisedConfiguration {
  readonly snapshot?: FleetSnapshot;
}

/** Learns the published state from peers while the store does not answer. */
export class StateExchange {
  readonly #fleet: FleetState;
  readonly #network: PeerCaller;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #telemetry: Telemetry;
  readonly #peers: () => readonly SocketAddress[];
  readonly #freshness: ConfigurationFreshness;
  readonly #onConfigurationOffered: (version: number, address: SocketAddress) => void;
  readonly #lists: PeerLists;
  readonly #storeLost = new Notifier();
  #isStoreAvailable = false;
  #stopped = false;

  constructor(options: {
    readonly fleet: FleetState;
    readonly network: PeerCaller;
    readonly clock: Clock;
    readonly random: Random;
    readonly telemetry: Telemetry;
    /** Peer addresses that may be asked. */
    readonly peers: () => readonly SocketAddress[];
    readonly freshness: ConfigurationFreshness;
    /** A peer has this version of the configuration in force. */
    readonly onConfigurationOffered: (version: number, address: SocketAddress) => void;
  }) {
    this.#fleet = options.fleet;
    this.#network = options.network;
    this.#clock = options.clock;
    this.#random = options.random;
    this.#telemetry = options.telemetry;
    this.#lists = new PeerLists(options.telemetry);
    this.#peers = options.peers;
    this.#freshness = options.freshness;
    this.#onConfigurationOffered = options.onConfigurationOffered;
  }

  start(): void {
    keepRunning({ telemetry: this.#telemetry, clock: this.#clock }, 'state-exchange', () => this.#poll());
  }

  stop(): void {
    this.#stopped = true;
    this.#storeLost.notify();
  }

  /** Whether the published state can currently be read directly. */
  set isStoreAvailable(isAvailable: boolean) {
    if (isAvailable === this.#isStoreAvailable) return;
    this.#isStoreAvailable = isAvailable;
    if (!isAvailable) this.#storeLost.notify();
    this.#telemetry.event(isAvailable ? 'info' : 'warn', 'store.dependency', 'store', {
      state: isAvailable ? 'regained' : 'lost',
    });
  }

  async #poll(): Promise<void> {
    while (!this.#stopped) {
      if (this.#isStoreAvailable) await this.#storeLost.wait();
      if (this.#stopped) return;
      const peer = this.#random.pick(this.#peers());
      if (peer !== undefined) await this.#ask(peer);
      await this.#clock.sleep(POLL_PERIOD_MS);
    }
  }

  async #ask(address: SocketAddress): Promise<void> {
    const known: SnapshotRequest = {
      era: this.#fleet.era,
      operatorRevision: this.#fleet.operatorRevision,
      operatorDigest: this.#fleet.operatorDigest,
      backendsRevision: this.#fleet.backendsRevision,
      routingDigest: this.#lists.expectedDigest(this.#fleet, address),
    };
    const askedMs = this.#clock.now();
    const reply = await this.#network.to(address).call(SNAPSHOT_METHOD, known, CALL_TIMEOUT_MS);
    const answer = this.#lists.readAnswer(snapshotAnswer, address, reply);
    if (answer === undefined) return;
    const { configurationVersion, configurationAgeMs = Infinity, snapshot } = answer;
    this.#onConfigurationOffered(configurationVersion, address);
    this.#freshness.confirm(configurationVersion, askedMs - configurationAgeMs);
    if (snapshot === undefined) return;
    const backends = this.#lists.read(address, snapshot.backends);
    this.#fleet.merge({ ...snapshot, configuration: undefined, backends });
  }
}

/** The answer to a peer: without the state if the peer holds the same or is ahead, or its link is full. */
export function snapshotFor(
  fleet: FleetState,
  freshness: ConfigurationFreshness,
  known: SnapshotRequest,
  waiting: WaitingBytes,
): SnapshotAnswer {
  const configuration = freshness.advertised;
  const { era } = known;
  const hasOperatorNews =
    fleet.operatorDigest !== known.operatorDigest &&
    fleet.hasOperatorStateAsOf({ era, revision: known.operatorRevision });
  const hasBackendNews =
    fleet.routingDigest !== known.routingDigest &&
    fleet.hasBackendsAsOf({ era, revision: known.backendsRevision });
  if ((!hasOperatorNews && !hasBackendNews) || !maySendLarge(waiting)) return configuration;
  return { ...configuration, snapshot: { ...fleet.snapshot(), configuration: undefined } };
}
