import { Notifier, type Clock, type Random } from '@canvasridge/clock';
import type { FleetSnapshot, FleetState } from '@canvasridge/serving';
import type { Telemetry } from '@canvasridge/telemetry';
import type { PeerNetwork } from '../peers/peer-network.js';

const CALL_TIMEOUT_MS = 1500;
/** Pause between two looks at peers while the store gives this node no answers. */
const POLL_PERIOD_MS = 600;

/** Peers asked at the same time: with a new version in a large fleet, many show it at once. */
const MOST_ASKED = 2;

export const SNAPSHOT_METHOD = 'fleet.snapshot';

/** Params of {@link SNAPSHOT_METHOD}: what the asking node knows already. */
export interface SnapshotRequest {
  readonly operatorRevision: number;
  /** See {@link FleetState.operatorDigest}. */
  readonly operatorDigest: number;
  readonly backendsRevision: number;
  /** See {@link FleetState.routingDigest}. */
  readonly routingDigest: number;
}

/** Learns published state from peers: when one shows a newer configuration, and while the store is silent. */
export class StateExchange {
  readonly #fleet: FleetState;
  readonly #network: PeerNetwork;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #telemetry: Telemetry;
  readonly #peers: () => readonly string[];
  readonly #asking = new Set<string>();
  readonly #lost = new Notifier();
  #sourceAnswers = false;
  #stopped = false;

  constructor(options: {
    readonly fleet: FleetState;
    readonly network: PeerNetwork;
    readonly clock: Clock;
    readonly random: Random;
    readonly telemetry: Telemetry;
    /** Peer addresses that may be asked. */
    readonly peers: () => readonly string[];
  }) {
    this.#fleet = options.fleet;
    this.#network = options.network;
    this.#clock = options.clock;
    this.#random = options.random;
    this.#telemetry = options.telemetry;
    this.#peers = options.peers;
  }

  start(): void {
    void this.#poll();
  }

  stop(): void {
    this.#stopped = true;
    this.#lost.notify();
  }

  /** Whether the published state can be read directly at present. */
  set sourceAnswers(answers: boolean) {
    if (answers === this.#sourceAnswers) return;
    this.#sourceAnswers = answers;
    if (!answers) this.#lost.notify();
    this.#telemetry.event(answers ? 'info' : 'warn', 'store.dependency', 'store', {
      state: answers ? 'regained' : 'lost',
    });
  }

  peerShows(address: string, version: number): void {
    if (version > this.#fleet.configurationVersion) void this.#ask(address);
  }

  async #poll(): Promise<void> {
    while (!this.#stopped) {
      if (this.#sourceAnswers) await this.#lost.wait();
      if (this.#stopped) return;
      const peer = this.#random.pick(this.#peers());
      if (peer !== undefined) await this.#ask(peer);
      await this.#clock.sleep(POLL_PERIOD_MS);
    }
  }

  async #ask(address: string): Promise<void> {
    if (this.#asking.has(address) || this.#asking.size >= MOST_ASKED) return;
    this.#asking.add(address);
    const known: SnapshotRequest = {
      operatorRevision: this.#fleet.operatorRevision,
      operatorDigest: this.#fleet.operatorDigest,
      backendsRevision: this.#fleet.backendsRevision,
      routingDigest: this.#fleet.routingDigest,
    };
    const answer = await this.#network.to(address).call(SNAPSHOT_METHOD, known, CALL_TIMEOUT_MS);
    this.#asking.delete(address);
    if (answer === undefined || answer === null) return;
    this.#fleet.merge(answer as FleetSnapshot);
  }
}

/** The answer to a peer: nothing if it holds the same, or is not behind. */
export function snapshotFor(fleet: FleetState, known: SnapshotRequest): FleetSnapshot | null {
  const hasOperatorNews =
    fleet.operatorRevision >= known.operatorRevision && fleet.operatorDigest !== known.operatorDigest;
  const hasBackendNews =
    fleet.backendsRevision >= known.backendsRevision && fleet.routingDigest !== known.routingDigest;
  return hasOperatorNews || hasBackendNews ? fleet.snapshot() : null;
}
